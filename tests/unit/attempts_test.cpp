#include "dispatcher_fixture.h"
#include "tarragonbridge/config.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;

namespace {
/// What is heard after the reply of the first attempt was lost.
struct lost_row {
  const char *Text;
  bool Repeatable;
  std::optional<stop_result> Stop;
  milliseconds Wait;
  std::size_t MoreStarts;
  bool IsAnswered;
};

struct ended_row {
  const char *Text;
  bool Repeatable;
  reply_kind Kind;
  std::size_t MoreStarts;
  const char *Answer; ///< part of the job's answer, empty: still runs
};

std::string answerOf(const std::vector<effect> &Effects) {
  const auto Answers = only<answer_request>(Effects);
  return Answers.empty() ? "" : Answers.front().Body;
}

void append(std::vector<effect> &To, const std::vector<effect> &More) {
  To.insert(To.end(), More.begin(), More.end());
}
} // namespace

TEST_CASE("after a lost reply only a proof of the end allows a second start",
          "[attempts]") {
  const auto Row = GENERATE(values<lost_row>({
      {"stopped", true, stop_result::Stopped, milliseconds(100), 1, false},
      {"ended", true, stop_result::Ended, milliseconds(100), 1, false},
      {"unseen", true, stop_result::Unseen, milliseconds(100), 1, false},
      {"no answer", true, stop_result::Unanswered, milliseconds(9'000), 0,
       false},
      {"process gone, lease not over", true, stop_result::ProcessGone,
       milliseconds(1'900), 0, false},
      {"process gone, lease over", true, stop_result::ProcessGone,
       milliseconds(4'000), 1, false},
      {"not repeatable", false, std::nullopt, milliseconds(9'000), 0, true},
  }));
  INFO(Row.Text);
  dispatcher_fixture Fixture;
  Fixture.listTargets(1, 8, {64, 65'536, 0});
  const auto Start = only<start_task>(Fixture.submit(1, Row.Repeatable)).at(0);
  std::vector<effect> Effects =
      Fixture.reply(Start, reply_kind::Unknown, reason::TargetLost);
  const auto Stops = only<stop_task>(Effects);
  REQUIRE(Stops.size() == 1);
  if (Row.Stop) {
    append(Effects, Fixture.apply(stop_answered{"t0", Stops[0].Id, *Row.Stop}));
  }
  // A stop without an answer of use is repeated and meets the same answer.
  for (milliseconds Past{}; Past < Row.Wait; Past += milliseconds(100)) {
    const auto Step = Fixture.advance(milliseconds(100));
    for (const stop_task &Again : only<stop_task>(Step)) {
      append(Effects, Fixture.apply(stop_answered{"t0", Again.Id, *Row.Stop}));
    }
    append(Effects, Step);
  }
  CHECK(only<start_task>(Effects).size() == Row.MoreStarts);
  CHECK(answerOf(Effects).empty() != Row.IsAnswered);
  if (Row.IsAnswered) {
    CHECK(answerOf(Effects).find(R"("outcome":"unknown")") !=
          std::string::npos);
  }
}

TEST_CASE("replies lead to the next attempt or the end", "[attempts]") {
  const auto Row = GENERATE(values<ended_row>({
      {"done", false, reply_kind::Done, 0, "complete"},
      {"failed, repeatable", true, reply_kind::Failed, 1, ""},
      {"failed", false, reply_kind::Failed, 0, R"("outcome":"known")"},
      {"not run", false, reply_kind::NotRun, 1, ""},
  }));
  INFO(Row.Text);
  dispatcher_fixture Fixture;
  Fixture.listTargets(1, 8, {64, 65'536, 0});
  const auto Start = only<start_task>(Fixture.submit(1, Row.Repeatable)).at(0);
  std::vector<effect> Effects =
      Fixture.reply(Start, Row.Kind, reason::TargetFull);
  append(Effects, Fixture.advance(milliseconds(200)));
  CHECK(only<start_task>(Effects).size() == Row.MoreStarts);
  CHECK(answerOf(Effects).find(Row.Answer) != std::string::npos);
  // A second copy of the reply is counted and not used.
  const auto Again = Fixture.reply(Start, reply_kind::Done);
  CHECK(answerOf(Again).empty());
  CHECK(Fixture.count(reason::LateReply) == 1);
}

TEST_CASE("a cancelled attempt is stopped once and keeps its slot until it "
          "ends",
          "[attempts]") {
  dispatcher_fixture Fixture;
  Fixture.listTargets(1, 1, {64, 65'536, 0});
  const auto Start = only<start_task>(Fixture.submit(1, true)).at(0);
  const auto Cancelled =
      Fixture.apply(job_cancelled{request_handle{2}, Start.Id.Key});
  CHECK(only<stop_task>(Cancelled).size() == 1);
  CHECK(only<start_task>(Fixture.submit(2, true)).empty());
  CHECK(only<stop_task>(Fixture.advance(milliseconds(900))).empty());
  const auto Stopped = Fixture.apply(
      stop_answered{Start.Target, Start.Id, stop_result::Stopped});
  CHECK(only<start_task>(Stopped).size() == 1);
}

TEST_CASE("an attempt that a target lost past its lease is started elsewhere",
          "[leases]") {
  dispatcher_fixture Fixture;
  Fixture.listTargets(1, 1, {64, 65'536, 0});
  const auto Start = only<start_task>(Fixture.submit(1, true)).at(0);
  const auto First = only<renew_leases>(Fixture.advance(milliseconds(500)));
  REQUIRE(First.size() == 1);
  Fixture.apply(leases_answered{"t0", First[0].Attempts, {}, true});
  // Renewals go unanswered: they stop, the attempt is asked to stop,
  // and its lease runs out.
  std::vector<effect> Effects;
  for (int Round = 0; Round < 18 && only<start_task>(Effects).empty();
       ++Round) {
    append(Effects, Fixture.advance(milliseconds(500)));
    Fixture.apply(leases_answered{"t0", {}, {}, false});
  }
  CHECK(only<renew_leases>(Effects).size() == config::MaxUnansweredRenewals);
  CHECK(only<stop_task>(Effects).size() == 1);
  const auto Starts = only<start_task>(Effects);
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].Id.Attempt == 2);
}

TEST_CASE("retries are bounded by the task's attempts and the team's budget",
          "[attempts]") {
  dispatcher_fixture Fixture;
  Fixture.listTargets(1, 18, {64, 65'536, 0});
  std::size_t Sent = 0;
  constexpr int Jobs = 200;
  for (int Job = 0; Job < Jobs; ++Job) {
    auto Effects = Fixture.submit(Job, true);
    for (int Round = 0; Round < 20; ++Round) {
      const auto Starts = only<start_task>(Effects);
      Sent += Starts.size();
      Effects.clear();
      for (const start_task &Start : Starts) {
        append(Effects, Fixture.reply(Start, reply_kind::Failed));
      }
      append(Effects, Fixture.advance(milliseconds(1'000)));
    }
  }
  // Burst and a fifth of the first attempts.
  CHECK(Sent <= Jobs + 100 + Jobs / 5);
  CHECK(Sent >= Jobs + 100);
  CHECK(figures(*Fixture.State).JobsFailed == Jobs);
}

TEST_CASE("a target that said it is leaving gets nothing new while the list "
          "lags",
          "[attempts]") {
  dispatcher_fixture Fixture;
  Fixture.listTargets(1, 4, {64, 65'536, 0});
  const auto Start = only<start_task>(Fixture.submit(1, false)).at(0);
  Fixture.reply(Start, reply_kind::NotRun, reason::TargetLeaving);
  Fixture.listTargets(1, 4, {64, 65'536, 0});
  Fixture.advance(milliseconds(2'000));
  CHECK(Fixture.Started.size() == 1);
  Fixture.advance(config::LeavingHold);
  Fixture.listTargets(1, 4, {64, 65'536, 0});
  CHECK_FALSE(Fixture.submit(2, false).empty());
  CHECK(Fixture.Started.size() >= 2);
}
