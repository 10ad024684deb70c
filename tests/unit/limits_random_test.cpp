#include "dispatcher_fixture.h"

#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace tarragonbridge;

namespace {
constexpr std::uint32_t Limit = 5;
constexpr resources Capacity{30, 10'000, 1};

/// Random events, with what is out at targets counted beside the dispatcher.
struct random_run : dispatcher_fixture {
  std::mt19937_64 Random;
  std::map<std::string, std::string> TeamOfKey;
  std::map<std::string, std::uint32_t> OutOfTeam;
  std::vector<start_task> Out;
  std::size_t Seen = 0;
  std::size_t SeenStops = 0;
  int NextJob = 0;

  explicit random_run(std::uint64_t Seed) : Random(Seed) {
    team_settings Limited;
    Limited.Limits.MaxRunningTasks = Limit;
    loadTeams({{"a", Limited}, {"b", Limited}, {"free", {}}});
    listTargets(3, 8, Capacity);
  }

  std::uint64_t draw(std::uint64_t Below) { return Random() % Below; }

  void submitJob() {
    const char *Team = std::array{"a", "b", "free"}.at(draw(3));
    const resources Needs{static_cast<std::uint32_t>(1 + draw(30)), draw(9'000),
                          static_cast<std::uint32_t>(draw(2))};
    job_submitted Event = job(NextJob++, Team, 1 + draw(6), Needs);
    Event.Job.Repeatable = draw(2) == 0;
    TeamOfKey[Event.Job.Key] = Team;
    apply(Event);
  }

  void forget(std::size_t Index) {
    --OutOfTeam[TeamOfKey[Out[Index].Id.Key]];
    Out.erase(Out.begin() + static_cast<std::ptrdiff_t>(Index));
  }

  void replyToOne() {
    if (Out.empty()) {
      return;
    }
    const std::size_t Index = draw(Out.size());
    const start_task Task = Out[Index];
    forget(Index);
    const auto Kind =
        std::array{reply_kind::Done, reply_kind::Done, reply_kind::Failed,
                   reply_kind::NotRun, reply_kind::Unknown}
            .at(draw(5));
    reply(Task, Kind, reason::TargetFull);
  }

  /// Lets time pass while targets renew leases.
  void passTime() {
    for (const renew_leases &Batch :
         only<renew_leases>(advance(milliseconds(draw(100))))) {
      apply(leases_answered{Batch.Target, Batch.Attempts, {}, true});
    }
  }

  /// Stops what the dispatcher has asked to be stopped.
  void answerStops() {
    for (; SeenStops < Stopped.size(); ++SeenStops) {
      const stop_task Stop = Stopped[SeenStops];
      const auto Found =
          std::find_if(Out.begin(), Out.end(), [&](const start_task &Task) {
            return Task.Id == Stop.Id;
          });
      if (Found != Out.end()) {
        forget(static_cast<std::size_t>(Found - Out.begin()));
      }
      apply(stop_answered{Stop.Target, Stop.Id, stop_result::Stopped});
    }
  }

  void step() {
    switch (draw(4)) {
    case 0:
      return submitJob();
    case 1:
      apply(job_cancelled{request_handle{2},
                          keyOf(static_cast<int>(draw(NextJob + 1)))});
      return;
    case 2:
      return passTime();
    default:
      return replyToOne();
    }
  }

  /// Takes over new starts.
  ///
  /// @returns whether every limited team is within its limit
  bool countStarts() {
    for (; Seen < Started.size(); ++Seen) {
      Out.push_back(Started[Seen]);
      ++OutOfTeam[TeamOfKey[Started[Seen].Id.Key]];
    }
    return OutOfTeam["a"] <= Limit && OutOfTeam["b"] <= Limit;
  }
};
} // namespace

TEST_CASE("limits hold and nothing leaks under random events") {
  const std::uint64_t Seed = GENERATE(range(1, 9));
  CAPTURE(Seed);
  random_run Run(Seed);
  for (int Step = 0; Step < 3'000; ++Step) {
    Run.step();
    REQUIRE(Run.countStarts());
    Run.answerStops();
    REQUIRE(Run.countStarts());
  }
  Run.advance(milliseconds(200'000));
  CHECK(figures(*Run.State).TasksQueued == 0);
  CHECK(figures(*Run.State).TasksRunning == 0);
  Run.apply(Run.job(Run.NextJob, "a", 50));
  CHECK(Run.countStarted(Run.NextJob) == Limit);
}
