/// Tests of one owned target, request by request.
#include "core/pool/owned_target_p.h"
#include "tarragonbridge/pool/config.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;
using namespace tarragonbridge::pool;
using namespace std::chrono_literals;

namespace {
/// An owned target and its context. The test supplies the target's responses.
struct owned_target_fixture {
  counters Counters;
  std::vector<effect> Effects;
  boot_time Now{100s};
  owned_target OwnedTarget{makeRecord(), 7, 0};

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
  /// @returns the latest lease renewal that was sent
  renew_target_lease lastRenewal() const {
    std::optional<renew_target_lease> Last;
    for (const effect &Effect : Effects) {
      if (const auto *Renewal = std::get_if<renew_target_lease>(&Effect)) {
        Last = *Renewal;
      }
    }
    REQUIRE(Last);
    return *Last;
  }
  void respondToRenewal(std::vector<attempt_ref> Running,
                        std::vector<listed_outcome> Ended = {},
                        command_outcome Outcome = command_outcome::Accepted) {
    const renew_target_lease Renewal = lastRenewal();
    ownership_context Context = context();
    OwnedTarget.onRenewalResponse({"t", Renewal.Token, Renewal.RenewalNumber,
                                   Outcome, 50s, 1, std::move(Running),
                                   std::move(Ended)},
                                  Context);
  }
  void advance(milliseconds Time) {
    Now += Time;
    ownership_context Context = context();
    OwnedTarget.onTimer(Context);
  }
  /// Advances the time until a lease renewal is sent.
  void advanceUntilRenewal() {
    constexpr int MaxSteps = 100;
    Effects.clear();
    const auto IsRenewal = [](const effect &Some) {
      return std::holds_alternative<renew_target_lease>(Some);
    };
    for (int Step = 0; Step < MaxSteps &&
                       std::none_of(Effects.begin(), Effects.end(), IsRenewal);
         ++Step) {
      advance(50ms);
    }
  }
  void start(const attempt_ref &Attempt) {
    queued_task Task;
    Task.Attempt = Attempt;
    Task.RequiredResources = {16'000, 64, 0};
    Task.Specification = std::make_shared<const std::string>("s");
    ownership_context Context = context();
    OwnedTarget.start(std::move(Task), 300ms, Context);
  }
  void respondToStart(const attempt_ref &Attempt, command_outcome Outcome) {
    ownership_context Context = context();
    OwnedTarget.onStartResponse(
        {"t", Attempt, startTokenOf(Attempt), Outcome, 50s}, Context);
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
  std::size_t countStops(const attempt_ref &Attempt) const {
    return static_cast<std::size_t>(
        std::count_if(Effects.begin(), Effects.end(), [&](const effect &Some) {
          const auto *Stop = std::get_if<stop_attempt>(&Some);
          return Stop != nullptr && Stop->Attempt == Attempt;
        }));
  }
  /// A listing without attempts of another incarnation.
  void respondFrom(std::int64_t Incarnation, milliseconds Clock) {
    const renew_target_lease Renewal = lastRenewal();
    ownership_context Context = context();
    OwnedTarget.onRenewalResponse({"t",
                                   Renewal.Token,
                                   Renewal.RenewalNumber,
                                   command_outcome::Accepted,
                                   Clock,
                                   Incarnation,
                                   {},
                                   {}},
                                  Context);
  }
  void updateRecord(const target_record &Record) {
    ownership_context Context = context();
    OwnedTarget.updateRecord(Record, Context);
  }
  /// Takes over the target while no attempt runs there.
  void acquire() {
    advance(0ms);
    respondToRenewal({});
    REQUIRE(OwnedTarget.isSchedulable());
  }
};

const attempt_ref Own{"own", 0, 0, 1};
const attempt_ref Foreign{"foreign", 0, 0, 1};
} // namespace

TEST_CASE_METHOD(owned_target_fixture,
                 "no free capacity before a listing under the own token",
                 "[pool]") {
  advance(0ms);
  CHECK_FALSE(OwnedTarget.isSchedulable());
  CHECK(OwnedTarget.freeCapacity() == resource_vector{});
  respondToRenewal({Foreign});
  CHECK_FALSE(OwnedTarget.isSchedulable());
  CHECK(countStops(Foreign) == 1);
  CHECK_FALSE(lastRenewal().LeaseDeadline);
  advance(100ms);
  respondToRenewal({}, {{1, Foreign, attempt_outcome::Stopped}});
  CHECK(OwnedTarget.isSchedulable());
  CHECK(OwnedTarget.freeCapacity().CpuMilli == 32'000);
}

// Guards against free capacity being counted while unknown attempts run: a
// partitioned host returns with a token that was never delivered and is higher
// than that of the host which took over meanwhile.
TEST_CASE_METHOD(owned_target_fixture,
                 "a listing with unknown attempts revokes free capacity",
                 "[pool]") {
  acquire();
  start(Own);
  respondToStart(Own, command_outcome::NoAnswer);
  advance(5s); // the lease has expired
  REQUIRE(OwnedTarget.attempts().empty());
  advanceUntilRenewal();
  respondToRenewal({Foreign});
  CHECK_FALSE(OwnedTarget.isSchedulable());
  CHECK(countStops(Foreign) == 1);
  advance(100ms);
  respondToRenewal({}, {{4, Foreign, attempt_outcome::Stopped}});
  CHECK(OwnedTarget.isSchedulable());
}

TEST_CASE_METHOD(
    owned_target_fixture,
    "an attempt whose outcome was listed isn't unknown in an older listing",
    "[pool]") {
  acquire();
  start(Own);
  respondToStart(Own, command_outcome::Accepted);
  advance(1ms);
  const renew_target_lease LongPoll = lastRenewal();
  advance(500ms); // a listing overtakes the long poll
  respondToRenewal({}, {{1, Own, attempt_outcome::Done}});
  ownership_context Context = context();
  OwnedTarget.onRenewalResponse({"t",
                                 LongPoll.Token,
                                 LongPoll.RenewalNumber,
                                 command_outcome::Accepted,
                                 50s,
                                 1,
                                 {Own},
                                 {}},
                                Context);
  CHECK(OwnedTarget.isSchedulable());
  CHECK(countStops(Own) == 0);
}

TEST_CASE_METHOD(owned_target_fixture,
                 "an unanswered start uses capacity until a listing "
                 "under a higher token shows its outcome",
                 "[pool]") {
  struct in_doubt_case {
    std::vector<attempt_ref> Running;
    std::vector<listed_outcome> Ended;
    std::optional<attempt_outcome> ExpectedOutcome;
    bool CanRequeue;
  };
  const auto Case = GENERATE(values<in_doubt_case>({
      {{}, {}, attempt_outcome::NotStarted, true},
      {{Own}, {}, std::nullopt, false},
      {{}, {{1, Own, attempt_outcome::Done}}, attempt_outcome::Done, false},
      {{}, {{1, Own, attempt_outcome::Failed}}, attempt_outcome::Failed, false},
  }));
  acquire();
  start(Own);
  const std::uint64_t Before = OwnedTarget.token();
  respondToStart(Own, command_outcome::NoAnswer);
  CHECK(OwnedTarget.token() > Before);
  CHECK(OwnedTarget.freeCapacity() == resource_vector{});
  CHECK(OwnedTarget.attempts().contains(Own));
  CHECK(OwnedTarget.extractEnded().empty());
  advance(200ms);
  CHECK(lastRenewal().Token == OwnedTarget.token());
  respondToRenewal(Case.Running, Case.Ended);
  CHECK(OwnedTarget.freeCapacity().CpuMilli ==
        (Case.ExpectedOutcome ? 32'000 : 16'000));
  const auto Ended = OwnedTarget.extractEnded();
  REQUIRE(Ended.size() == (Case.ExpectedOutcome ? 1U : 0U));
  if (Case.ExpectedOutcome) {
    CHECK(Ended[0].Outcome == *Case.ExpectedOutcome);
    CHECK(Ended[0].CanRequeue == Case.CanRequeue);
  }
}

TEST_CASE_METHOD(owned_target_fixture,
                 "a fenced owner sends no more starts or lease renewals",
                 "[pool]") {
  const attempt_ref Other{"other", 0, 0, 1};
  acquire();
  start(Own);
  respondToStart(Own, command_outcome::Accepted);
  start(Other);
  respondToStart(Other, command_outcome::Fenced);
  CHECK(OwnedTarget.phase() == ownership_phase::Lost);
  CHECK_FALSE(OwnedTarget.isSchedulable());
  CHECK(OwnedTarget.extractEnded().size() == 1); // the fenced one
  // It may run until its lease expires.
  CHECK(OwnedTarget.attempts().contains(Own));
  Effects.clear();
  advance(500ms);
  CHECK(Effects.empty());
  advance(1s);
  REQUIRE(OwnedTarget.extractEnded().size() == 1);
  CHECK(OwnedTarget.isFinished());
}

TEST_CASE_METHOD(owned_target_fixture,
                 "a new owner raises its term until it is accepted", "[pool]") {
  std::uint64_t Highest = 0;
  for (int Try = 0; Try < 5; ++Try) {
    advance(100ms);
    CHECK(lastRenewal().Token > Highest);
    Highest = lastRenewal().Token;
    respondToRenewal({}, {}, command_outcome::Fenced);
  }
  advance(100ms);
  respondToRenewal({});
  CHECK(OwnedTarget.isSchedulable());
  CHECK(OwnedTarget.term() >= 16);
}

// A host that hands over a target and gets it back restarts its request
// numbers. A response to an earlier request must not be taken for the response
// to a later one.
TEST_CASE_METHOD(owned_target_fixture,
                 "a response to a request under another token confirms nothing",
                 "[pool]") {
  acquire();
  start(Own);
  respondToStart(Own, command_outcome::Accepted);
  advanceUntilRenewal();
  const renew_target_lease Renewal = lastRenewal();
  ownership_context Context = context();
  OwnedTarget.onRenewalResponse({"t",
                                 Renewal.Token - 1,
                                 Renewal.RenewalNumber,
                                 command_outcome::Accepted,
                                 50s,
                                 1,
                                 {},
                                 {}},
                                Context);
  CHECK(OwnedTarget.attempts().contains(Own));
  CHECK(OwnedTarget.extractEnded().empty());
  OwnedTarget.onRenewalResponse({"t",
                                 Renewal.Token,
                                 Renewal.RenewalNumber,
                                 command_outcome::Accepted,
                                 50s,
                                 1,
                                 {},
                                 {}},
                                Context);
  CHECK_FALSE(OwnedTarget.attempts().contains(Own));
}

// The response says that the target did nothing, so the task needn't wait for
// the lease to expire.
TEST_CASE_METHOD(owned_target_fixture, "a fenced start never ran", "[pool]") {
  acquire();
  start(Own);
  respondToStart(Own, command_outcome::Fenced);
  CHECK(OwnedTarget.phase() == ownership_phase::Lost);
  CHECK(OwnedTarget.attempts().empty());
  const auto Ended = OwnedTarget.extractEnded();
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Outcome == attempt_outcome::NotStarted);
  CHECK(Ended[0].CanRequeue);
}

// Before the first listing under a raised token, another host may have started
// attempts there under a token higher than the previous one.
TEST_CASE_METHOD(
    owned_target_fixture,
    "a raised token gives no free capacity before a listing under it",
    "[pool]") {
  acquire();
  const attempt_ref Other{"other", 0, 0, 1};
  start(Own);
  start(Other);
  respondToStart(Own, command_outcome::NoAnswer);
  respondToStart(Other, command_outcome::Accepted); // the target responds again
  CHECK_FALSE(OwnedTarget.isSchedulable());
  CHECK(OwnedTarget.freeCapacity() == resource_vector{});
  advanceUntilRenewal();
  respondToRenewal({Own, Other});
  CHECK(OwnedTarget.isSchedulable());
}

// Guards against deadlines in the time of an earlier incarnation's clock, which
// a late command could use to extend the lease at any time.
TEST_CASE_METHOD(owned_target_fixture,
                 "a late response of an earlier incarnation sets no clock",
                 "[pool]") {
  acquire();
  start(Own);
  target_record Reborn = makeRecord();
  Reborn.Incarnation = 2;
  updateRecord(Reborn);
  respondToStart(Own, command_outcome::Accepted); // its clock shows 50 s
  advance(100ms);
  respondFrom(2, 1s);
  REQUIRE(OwnedTarget.isSchedulable());
  Effects.clear();
  start(Foreign);
  const auto *Start = std::get_if<start_attempt>(&Effects.front());
  REQUIRE(Start != nullptr);
  CHECK(Start->LeaseDeadline == 1s + config::LeaseTime);
}

// Guards against starts by the capacity of an earlier incarnation: the next one
// may be of another kind.
TEST_CASE_METHOD(owned_target_fixture,
                 "a restarted target has no free capacity before its record",
                 "[pool]") {
  acquire();
  start(Own);
  for (int Listing = 0; Listing < 2; ++Listing) {
    advanceUntilRenewal();
    respondFrom(2, 1s);
  }
  CHECK(OwnedTarget.phase() == ownership_phase::Held);
  CHECK_FALSE(OwnedTarget.isSchedulable());
  CHECK(OwnedTarget.freeCapacity() == resource_vector{});
  target_record Reborn = makeRecord();
  Reborn.Incarnation = 2;
  Reborn.Capacity = {8'000, 1'024, 0};
  updateRecord(Reborn);
  CHECK(OwnedTarget.isSchedulable());
  CHECK(OwnedTarget.freeCapacity() == Reborn.Capacity);
}

// Guards against coordinators that wait in vain: a finished target is dropped
// with the outcomes that it still holds.
TEST_CASE_METHOD(owned_target_fixture,
                 "a target with unreported outcomes isn't dropped or moved",
                 "[pool]") {
  acquire();
  start(Own);
  CHECK(OwnedTarget.canHandOver());
  advanceUntilRenewal();
  respondToRenewal({}, {{1, Own, attempt_outcome::Done}});
  CHECK_FALSE(OwnedTarget.canHandOver());
  OwnedTarget.markRemoved();
  CHECK_FALSE(OwnedTarget.isFinished());
  CHECK(OwnedTarget.extractEnded().size() == 1);
  CHECK(OwnedTarget.canHandOver());
  CHECK(OwnedTarget.isFinished());
}

// Guards against tasks that wait for most of a second on each target that was
// handed over.
TEST_CASE_METHOD(owned_target_fixture,
                 "a target that was handed over takes tasks at once",
                 "[pool]") {
  ownership_context Context = context();
  const host_ref Coordinator{"self", 1};
  Context.LastAliveAt = [this](const host_ref &) { return Now; };
  target_handover Handover;
  Handover.Target = "t";
  Handover.Token = OwnedTarget.token();
  Handover.Incarnation = 1;
  OwnedTarget.acceptHandover(Handover, Context);
  advance(1ms);
  respondToRenewal({});
  REQUIRE(OwnedTarget.isSchedulable());
  CHECK(OwnedTarget.canStartFor(Coordinator, Context));
}

// Guards against TWICE, LIMIT and DRAIN: a target restarts under its id while
// its clock is set back, and all that it says is dropped as outdated.
TEST_CASE_METHOD(owned_target_fixture,
                 "a target restarts as an incarnation with a lower number",
                 "[pool]") {
  const bool IsRecordFirst = GENERATE(true, false); ///< else a listing tells it
  CAPTURE(IsRecordFirst);
  constexpr std::int64_t First = 1'000;
  constexpr std::int64_t Second = 400;
  constexpr milliseconds SecondClock{20};
  target_record Record = makeRecord();
  Record.Incarnation = First;
  Record.Revision = 5;
  updateRecord(Record);
  advance(0ms);
  respondFrom(First, 50s);
  REQUIRE(OwnedTarget.isSchedulable());
  start(Own);
  respondToStart(Own, command_outcome::Accepted);
  target_record Restarted = Record;
  Restarted.Incarnation = Second;
  Restarted.Revision = 9;
  Restarted.Capacity = {8'000, 65'536, 0};
  if (IsRecordFirst) {
    updateRecord(Restarted);
  } else {
    advance(1ms);
    respondFrom(Second, SecondClock);
    Record.IsDraining = true;
    Record.Revision = 7;
    updateRecord(Record); // of the earlier incarnation
    CHECK_FALSE(OwnedTarget.isSchedulable());
    updateRecord(Restarted);
  }
  advanceUntilRenewal();
  respondFrom(Second, SecondClock);
  CHECK(OwnedTarget.isSchedulable());
  CHECK(OwnedTarget.freeCapacity().CpuMilli == 8'000);
  const std::vector<ended_attempt> Ended = OwnedTarget.extractEnded();
  REQUIRE(Ended.size() == 1);
  CHECK(Ended.front().Outcome == attempt_outcome::Crashed);
  updateRecord(Record);
  CHECK(OwnedTarget.freeCapacity().CpuMilli == 8'000);
}

// Guards against targets that count as silent or slow for a pause of their
// owner: their jobs are held as suspect, and they get few tasks.
TEST_CASE_METHOD(owned_target_fixture,
                 "a target isn't blamed for a pause of its owner", "[pool]") {
  const command_outcome Outcome =
      GENERATE(command_outcome::NoAnswer, command_outcome::NotSent);
  CAPTURE(nameOf(Outcome));
  constexpr milliseconds PauseTime{2'000};
  acquire();
  start(Own);
  respondToStart(Own, command_outcome::Accepted);
  advance(1ms); // sends a long poll
  start(Foreign);
  const boot_time StartedAt = Now;
  Now += PauseTime;
  OwnedTarget.onResume(Now);
  respondToRenewal({}, {}, Outcome);
  CHECK(OwnedTarget.isSchedulable());
  respondToStart(Foreign, Outcome);
  CHECK_FALSE(OwnedTarget.isUnresponsive());
  CHECK_FALSE(OwnedTarget.hasRespondedSince(StartedAt));
  advanceUntilRenewal();
  respondToRenewal({}, {{1, Own, attempt_outcome::Done}});
  for (const ended_attempt &Ended : OwnedTarget.extractEnded()) {
    CHECK_FALSE(Ended.IsRunTimeExact);
  }
}

// Guards against targets that count as slow for a pause of their owner.
TEST_CASE_METHOD(owned_target_fixture,
                 "a run time that includes a pause of the owner isn't exact",
                 "[pool]") {
  constexpr milliseconds PauseTime{2'000};
  acquire();
  start(Own);
  respondToStart(Own, command_outcome::Accepted);
  advance(1ms); // sends a long poll
  const boot_time StartedAt = Now;
  Now += PauseTime;
  OwnedTarget.onResume(Now);
  CHECK_FALSE(OwnedTarget.hasRespondedSince(StartedAt));
  respondToRenewal({}, {{1, Own, attempt_outcome::Done}});
  const std::vector<ended_attempt> Ended = OwnedTarget.extractEnded();
  REQUIRE(Ended.size() == 1);
  CHECK_FALSE(Ended.front().IsRunTimeExact);
}

// Guards against a reassignment of an attempt that is queued again: a later one
// from another target, whose token is lower, would be taken for an old one.
TEST_CASE_METHOD(owned_target_fixture,
                 "only attempts that were handed over are told again",
                 "[pool]") {
  const host_ref Coordinator{"c", 3};
  const attempt_ref Moved{"moved", 0, 0, 1};
  target_handover Handover;
  Handover.Target = "t";
  Handover.Attempts = {{Moved, Coordinator, {16'000, 64, 0}, 1s, 0ms, true},
                       {{"other", 0, 0, 1}, {"c", 4}, {}, 1s, 0ms, true}};
  ownership_context Context = context();
  OwnedTarget.acceptHandover(Handover, Context);
  queued_task Offered;
  Offered.Attempt = {"offered", 0, 0, 1};
  Offered.Coordinator = Coordinator;
  Offered.Specification = std::make_shared<const std::string>("s");
  OwnedTarget.start(std::move(Offered), 300ms, Context);
  CHECK(OwnedTarget.reassignedOf(Coordinator) == std::vector{Moved});
}
