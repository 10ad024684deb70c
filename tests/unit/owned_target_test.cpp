/// Custody of one target, call by call.
#include "core/pool/owned_target_p.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;
using namespace tarragonbridge::pool;
using namespace std::chrono_literals;

namespace {
/// A custody with what its calls need; the target is played by the test.
struct custody_fixture {
  counters Counters;
  std::vector<effect> Effects;
  boot_time Now{100s};
  owned_target Custody{makeRecord(), 7, 0};

  static target_record makeRecord() {
    target_record Record;
    Record.Id = "t";
    Record.Service = "desk";
    Record.Capacity = {32'000, 65'536, 0};
    Record.Incarnation = 1;
    return Record;
  }
  ownership_context context() {
    return {Now, 1s, 7, ownership_rules{}, Counters, Effects};
  }
  /// @returns the latest hold that was sent
  renew_target_lease lastHold() const {
    std::optional<renew_target_lease> Last;
    for (const effect &Effect : Effects) {
      if (const auto *Hold = std::get_if<renew_target_lease>(&Effect)) {
        Last = *Hold;
      }
    }
    REQUIRE(Last);
    return *Last;
  }
  void answerHold(std::vector<attempt_ref> Running,
                  std::vector<listed_outcome> Ended = {},
                  command_outcome Outcome = command_outcome::Accepted) {
    const renew_target_lease Hold = lastHold();
    ownership_context Context = context();
    Custody.onRenewalResponse({"t", Hold.Token, Hold.RenewalNumber, Outcome,
                               50s, 1, std::move(Running), std::move(Ended)},
                              Context);
  }
  void pass(milliseconds Time) {
    Now += Time;
    ownership_context Context = context();
    Custody.onTimer(Context);
  }
  /// Lets the time pass until a hold is sent.
  void passUntilHold() {
    constexpr int MostSteps = 100;
    Effects.clear();
    const auto IsHold = [](const effect &Some) {
      return std::holds_alternative<renew_target_lease>(Some);
    };
    for (int Step = 0; Step < MostSteps &&
                       std::none_of(Effects.begin(), Effects.end(), IsHold);
         ++Step) {
      pass(50ms);
    }
  }
  void start(const attempt_ref &Attempt) {
    queued_task Task;
    Task.Attempt = Attempt;
    Task.RequiredResources = {16'000, 64, 0};
    Task.Specification = std::make_shared<const std::string>("s");
    ownership_context Context = context();
    Custody.start(std::move(Task), 300ms, Context);
  }
  void answerStart(const attempt_ref &Attempt, command_outcome Outcome) {
    ownership_context Context = context();
    Custody.onStartResponse({"t", Attempt, startTokenOf(Attempt), Outcome, 50s},
                            Context);
  }
  std::uint64_t startTokenOf(const attempt_ref &Attempt) const {
    std::uint64_t Token = 0;
    for (const effect &Effect : Effects) {
      const auto *Start = std::get_if<start_attempt>(&Effect);
      if (Start != nullptr && Start->Attempt == Attempt) {
        Token = Start->Token;
      }
    }
    return Token;
  }
  std::size_t stopsOf(const attempt_ref &Attempt) const {
    return static_cast<std::size_t>(
        std::count_if(Effects.begin(), Effects.end(), [&](const effect &Some) {
          const auto *Stop = std::get_if<stop_attempt>(&Some);
          return Stop != nullptr && Stop->Attempt == Attempt;
        }));
  }
  /// Takes the target over while nothing runs there.
  void acquire() {
    pass(0ms);
    answerHold({});
    REQUIRE(Custody.isSchedulable());
  }
};

const attempt_ref Own{"own", 0, 0, 1};
const attempt_ref Foreign{"foreign", 0, 0, 1};
} // namespace

TEST_CASE_METHOD(custody_fixture, "no room before a list under the own token",
                 "[pool]") {
  pass(0ms);
  CHECK_FALSE(Custody.isSchedulable());
  CHECK(Custody.freeCapacity() == resource_vector{});
  answerHold({Foreign});
  CHECK_FALSE(Custody.isSchedulable());
  CHECK(stopsOf(Foreign) == 1);
  CHECK_FALSE(lastHold().LeaseDeadline);
  pass(100ms);
  answerHold({}, {{1, Foreign, attempt_outcome::Stopped}});
  CHECK(Custody.isSchedulable());
  CHECK(Custody.freeCapacity().CpuMilli == 32'000);
}

// A host that was cut off comes back with a token that was never delivered and
// is higher than that of the host which took over meanwhile.
TEST_CASE_METHOD(custody_fixture, "a list with foreign attempts ends the room",
                 "[pool]") {
  acquire();
  start(Own);
  answerStart(Own, command_outcome::NoAnswer);
  pass(5s); // the lease is over
  REQUIRE(Custody.attempts().empty());
  passUntilHold();
  answerHold({Foreign});
  CHECK_FALSE(Custody.isSchedulable());
  CHECK(stopsOf(Foreign) == 1);
  pass(100ms);
  answerHold({}, {{4, Foreign, attempt_outcome::Stopped}});
  CHECK(Custody.isSchedulable());
}

TEST_CASE_METHOD(custody_fixture,
                 "an end that was listed isn't unknown in an older list",
                 "[pool]") {
  acquire();
  start(Own);
  answerStart(Own, command_outcome::Accepted);
  pass(1ms);
  const renew_target_lease Waiting = lastHold();
  pass(500ms); // a renewal overtakes the waiting hold
  answerHold({}, {{1, Own, attempt_outcome::Done}});
  ownership_context Context = context();
  Custody.onRenewalResponse({"t",
                             Waiting.Token,
                             Waiting.RenewalNumber,
                             command_outcome::Accepted,
                             50s,
                             1,
                             {Own},
                             {}},
                            Context);
  CHECK(Custody.isSchedulable());
  CHECK(stopsOf(Own) == 0);
}

TEST_CASE_METHOD(custody_fixture,
                 "an unanswered start takes room until a list "
                 "under a higher token decides",
                 "[pool]") {
  struct doubt_case {
    std::vector<attempt_ref> Running;
    std::vector<listed_outcome> Ended;
    std::optional<attempt_outcome> End;
    bool CanRequeue;
  };
  const auto Case = GENERATE(values<doubt_case>({
      {{}, {}, attempt_outcome::NotStarted, true},
      {{Own}, {}, std::nullopt, false},
      {{}, {{1, Own, attempt_outcome::Done}}, attempt_outcome::Done, false},
      {{}, {{1, Own, attempt_outcome::Failed}}, attempt_outcome::Failed, false},
  }));
  acquire();
  start(Own);
  const std::uint64_t Before = Custody.token();
  answerStart(Own, command_outcome::NoAnswer);
  CHECK(Custody.token() > Before);
  CHECK(Custody.freeCapacity() == resource_vector{});
  CHECK(Custody.attempts().contains(Own));
  CHECK(Custody.extractEnded().empty());
  pass(200ms);
  CHECK(lastHold().Token == Custody.token());
  answerHold(Case.Running, Case.Ended);
  CHECK(Custody.freeCapacity().CpuMilli == (Case.End ? 32'000 : 16'000));
  const auto Ended = Custody.extractEnded();
  REQUIRE(Ended.size() == (Case.End ? 1U : 0U));
  if (Case.End) {
    CHECK(Ended[0].Outcome == *Case.End);
    CHECK(Ended[0].CanRequeue == Case.CanRequeue);
  }
}

TEST_CASE_METHOD(custody_fixture,
                 "a holder that is fenced starts and holds nothing more",
                 "[pool]") {
  const attempt_ref Other{"other", 0, 0, 1};
  acquire();
  start(Own);
  answerStart(Own, command_outcome::Accepted);
  start(Other);
  answerStart(Other, command_outcome::Fenced);
  CHECK(Custody.phase() == ownership_phase::Lost);
  CHECK_FALSE(Custody.isSchedulable());
  CHECK(Custody.extractEnded().size() == 1); // the one that was refused
  CHECK(Custody.attempts().contains(Own)); // it may run until its lease is over
  Effects.clear();
  pass(500ms);
  CHECK(Effects.empty());
  pass(1s);
  REQUIRE(Custody.extractEnded().size() == 1);
  CHECK(Custody.isFinished());
}

TEST_CASE_METHOD(custody_fixture, "a new holder goes up until it is accepted",
                 "[pool]") {
  std::uint64_t Highest = 0;
  for (int Try = 0; Try < 5; ++Try) {
    pass(100ms);
    CHECK(lastHold().Token > Highest);
    Highest = lastHold().Token;
    answerHold({}, {}, command_outcome::Fenced);
  }
  pass(100ms);
  answerHold({});
  CHECK(Custody.isSchedulable());
  CHECK(Custody.term() >= 16);
}

// A host that gives a target away and gets it back numbers its calls anew: an
// answer to a call from before must not pass for one that was sent later.
TEST_CASE_METHOD(custody_fixture,
                 "an answer to a call under another token proves nothing",
                 "[pool]") {
  acquire();
  start(Own);
  answerStart(Own, command_outcome::Accepted);
  passUntilHold();
  const renew_target_lease Hold = lastHold();
  ownership_context Context = context();
  Custody.onRenewalResponse({"t",
                             Hold.Token - 1,
                             Hold.RenewalNumber,
                             command_outcome::Accepted,
                             50s,
                             1,
                             {},
                             {}},
                            Context);
  CHECK(Custody.attempts().contains(Own));
  CHECK(Custody.extractEnded().empty());
  Custody.onRenewalResponse({"t",
                             Hold.Token,
                             Hold.RenewalNumber,
                             command_outcome::Accepted,
                             50s,
                             1,
                             {},
                             {}},
                            Context);
  CHECK_FALSE(Custody.attempts().contains(Own));
}

// The answer says that the target did nothing: the task needn't wait for the
// end of the lease.
TEST_CASE_METHOD(custody_fixture, "a start refused by the fence never ran",
                 "[pool]") {
  acquire();
  start(Own);
  answerStart(Own, command_outcome::Fenced);
  CHECK(Custody.phase() == ownership_phase::Lost);
  CHECK(Custody.attempts().empty());
  const auto Ended = Custody.extractEnded();
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Outcome == attempt_outcome::NotStarted);
  CHECK(Ended[0].CanRequeue);
}

// Between a raised token and its first list another host may have begun
// attempts there under a token that is higher than the one before.
TEST_CASE_METHOD(custody_fixture,
                 "a raised token gives no room before a list under it",
                 "[pool]") {
  acquire();
  const attempt_ref Other{"other", 0, 0, 1};
  start(Own);
  start(Other);
  answerStart(Own, command_outcome::NoAnswer);
  answerStart(Other, command_outcome::Accepted); // the target answers again
  CHECK_FALSE(Custody.isSchedulable());
  CHECK(Custody.freeCapacity() == resource_vector{});
  passUntilHold();
  answerHold({Own, Other});
  CHECK(Custody.isSchedulable());
}
