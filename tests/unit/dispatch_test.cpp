#include "dispatcher_fixture.h"

#include "tarragonbridge/config.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;

namespace {
constexpr resources Large{16, 1000, 0};

// Numbers of jobs.
constexpr int Burst = 1;
constexpr int Small = 2;
constexpr int Limited = 3;
constexpr int Free = 4;
constexpr int Wide = 5;
constexpr int Narrow = 6;

struct dispatch_fixture : dispatcher_fixture {
  dispatch_fixture() {
    loadTeams({{"a", {}}, {"b", {}}});
    listTargets(2, 4, Large);
  }

  /// @returns tasks of the job among the started ones up to an index
  std::size_t countFinished(int Number, std::size_t Last) const {
    std::size_t Count = 0;
    for (std::size_t Index = 0; Index <= Last; ++Index) {
      Count += Started[Index].Id.Key == keyOf(Number) ? 1 : 0;
    }
    return Count;
  }
};
} // namespace

TEST_CASE_METHOD(dispatch_fixture, "a burst of one team delays itself") {
  apply(job(Burst, "a", 900));
  CHECK(Started.size() == 8);
  apply(job(Small, "b", 2));
  advance(milliseconds(200));
  for (std::size_t Index = 0; Index < 4; ++Index) {
    finish(start_task(Started[Index]));
  }
  CHECK(countStarted(Small) == 2);
}

TEST_CASE_METHOD(dispatch_fixture,
                 "running tasks stay under the team's limit") {
  team_settings Settings;
  Settings.Limits.MaxRunningTasks = 3;
  loadTeams({{"a", Settings}, {"b", {}}});
  apply(job(Limited, "a", 10));
  apply(job(Free, "b", 10));
  CHECK(countStarted(Limited) == 3);
  CHECK(countStarted(Free) == 5);
  for (std::size_t Index = 0; Index < Started.size(); ++Index) {
    advance(milliseconds(200));
    finish(start_task(Started[Index]));
    CHECK(countStarted(Limited) - countFinished(Limited, Index) <= 3);
  }
  CHECK(Started.size() == 20);
}

TEST_CASE_METHOD(dispatch_fixture, "a task that fits nowhere now is passed") {
  hosts_listed Event;
  for (const std::uint32_t Cores : {16, 2}) {
    host_entry Host;
    Host.Name = "cores-" + std::to_string(Cores);
    Host.FailureDomain = "curepipe";
    Host.Slots = 1;
    Host.Capacity = {Cores, 1000, 0};
    Host.Connections = 1;
    Event.Hosts.push_back(Host);
  }
  apply(Event);
  apply(job(Wide, "a", 4, {16, 0, 0}));
  CHECK(countStarted(Wide) == 1);
  apply(job(Narrow, "a", 1));
  CHECK(countStarted(Narrow) == 1);
}

TEST_CASE_METHOD(dispatch_fixture, "slots are shared with other entry hosts") {
  listTargets(2, 4, Large, 1);
  apply(job(Burst, "a", 20));
  CHECK(Started.size() == 4);
}

TEST_CASE_METHOD(dispatch_fixture, "shares of slots follow heartbeats") {
  listTargets(4, 8, Large, 1);
  const std::uint64_t OtherWants = GENERATE(0, 100);
  const bool IsHeard = GENERATE(true, false);
  apply(job(Burst, "a", 100));
  CHECK(Started.size() == 16);
  if (IsHeard) {
    heartbeat Beat;
    Beat.Load.WantedSlots = OtherWants;
    apply(heartbeat_received{
        request_handle{9},
        {{"curepipe", "other-0", 5}, {"curepipe", "cp-1", 7}},
        Beat});
  }
  advance(config::ShareTurn);
  CHECK(Started.size() == (IsHeard && OtherWants == 0 ? 24 : 16));
}

TEST_CASE_METHOD(dispatch_fixture, "team limits are shared in turns") {
  team_settings Settings;
  Settings.Limits.MaxRunningTasks = 1;
  loadTeams({{"a", Settings}});
  listTargets(2, 4, Large, 3);
  apply(job(Limited, "a", 20));
  int Turns = 0;
  for (int Turn = 0; Turn < 40; ++Turn) {
    const std::size_t Before = Started.size();
    advance(config::ShareTurn);
    REQUIRE(Started.size() <= Before + 1);
    if (Started.size() > Before) {
      ++Turns;
      advance(config::ShareTurn); // outlasts its turn
      finish(start_task(Started.back()));
    }
  }
  CHECK(Turns >= 4);
}
