/// Targets that are handed over more than once while messages are late.
#include "pool_simulation.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;
using namespace tarragonbridge::pool;
using namespace std::chrono_literals;

// Guards against an owner that is set back by the late message of an earlier
// one: the cancellation goes there, and the attempt runs on beside the next
// submission's.
TEST_CASE("a late reassignment doesn't set a task's owner back", "[pool]") {
  const std::uint64_t Seed = GENERATE(range<std::uint64_t>(1, 11));
  CAPTURE(Seed);
  constexpr std::size_t Coordinator = 0;
  constexpr std::size_t Restarted = 1;
  constexpr std::size_t Interim = 2; ///< owns targets while the other restarts
  constexpr std::size_t Other = 3;
  constexpr milliseconds ResubmitDelay{1'300};
  simulation_init Init;
  Init.Hosts = 4;
  Init.TargetsPerDomain = 12;
  Init.Seed = Seed;
  pool_simulation World(Init);
  World.settle();
  simulated_job Job{"j", 12};
  Job.RunTime = 6s;
  const request_handle Request = World.submit(Coordinator, Job);
  World.runFor(300ms);
  World.cutDatagrams(Interim, Coordinator);
  World.terminate(Restarted, 1s);
  World.runFor(100ms);
  World.restart(Restarted);
  World.runFor(500ms);
  World.restoreDatagrams(Interim, Coordinator);
  World.runFor(500ms);
  REQUIRE(World.counterTotal(counter::HandoversTaken) > 0);
  REQUIRE_FALSE(World.responseOf(Request));
  World.disconnect(Coordinator, Request);
  World.runFor(ResubmitDelay);
  World.submit(Other, Job);
  World.runFor(7s);
  CHECK_THAT(World.violations(), Catch::Equals(""));
}

namespace {
/// Runs until a host is handed targets, for a second at most.
void awaitHandover(pool_simulation &World, std::size_t Host) {
  constexpr auto Taken = static_cast<std::size_t>(counter::HandoversTaken);
  const std::uint64_t Before = World.hostMetrics(Host).Counters[Taken];
  const boot_time TimeoutAt = World.now() + 1s;
  while (World.hostMetrics(Host).Counters[Taken] == Before &&
         World.now() < TimeoutAt) {
    World.runFor(200us);
  }
  REQUIRE(World.hostMetrics(Host).Counters[Taken] > Before);
}
} // namespace

// Guards against an owner whose message that it now has an attempt is dropped
// with the session: the cancellation goes to the former owner.
TEST_CASE("a reassignment outlives the session that it is sent in", "[pool]") {
  const std::uint64_t Seed = GENERATE(range<std::uint64_t>(1, 11));
  CAPTURE(Seed);
  constexpr std::size_t Coordinator = 0;
  constexpr std::size_t Resumed = 2; ///< is handed targets when it wakes
  constexpr std::size_t Other = 3;
  constexpr milliseconds PauseTime{6'000}; ///< its peers are silent by then
  constexpr milliseconds ResubmitDelay{1'300};
  simulation_init Init;
  Init.Hosts = 4;
  Init.TargetsPerDomain = 12;
  Init.Seed = Seed;
  Init.ResumesWithTimers = true;
  pool_simulation World(Init);
  World.settle();
  World.pause(Resumed);
  World.runFor(PauseTime);
  simulated_job Job{"j", 12};
  Job.RunTime = 6s;
  const request_handle Request = World.submit(Coordinator, Job);
  World.runFor(300ms);
  World.cutDatagrams(Coordinator, Resumed);
  World.resume(Resumed);
  awaitHandover(World, Resumed);
  World.restoreDatagrams(Coordinator, Resumed);
  World.runFor(500ms);
  REQUIRE_FALSE(World.responseOf(Request));
  World.disconnect(Coordinator, Request);
  World.runFor(ResubmitDelay);
  World.submit(Other, Job);
  World.runFor(7s);
  CHECK_THAT(World.violations(), Catch::Equals(""));
}

// Guards against a queued task whose cancellation is dropped with the session,
// and that is started in the next one.
TEST_CASE("no queued task outlives the session of its cancellation", "[pool]") {
  const milliseconds PauseTime = GENERATE(2'000ms, 4'900ms, 5'100ms, 8'000ms);
  const bool HasCut = GENERATE(false, true); ///< when the owner resumes
  const bool TimersFirst = GENERATE(false, true);
  CAPTURE(PauseTime.count(), HasCut, TimersFirst);
  simulation_init Init;
  Init.Hosts = 2;
  Init.Domains = 2; // no host takes over from the other
  Init.TargetsPerDomain = 2;
  Init.ResumesWithTimers = TimersFirst;
  pool_simulation World(Init);
  World.settle();
  simulated_job Long{"long", 8};
  Long.RunTime = 900ms;
  simulated_job Queued{"queued", 4};
  Queued.RunTime = 900ms;
  World.submit(1, Long);
  const request_handle Request = World.submit(0, Queued);
  World.runFor(20ms);
  REQUIRE(World.hostMetrics(1).TasksQueued > 0);
  World.pause(1);
  World.disconnect(0, Request);
  World.runFor(PauseTime);
  const std::uint64_t Before = World.startCount();
  if (HasCut) {
    World.cutDatagrams(0, 1);
  }
  World.resume(1);
  World.runFor(50ms);
  World.heal();
  World.runFor(3s);
  CHECK(World.startCount() == Before);
  CHECK(World.hostMetrics(1).TasksQueued == 0);
  CHECK_THAT(World.violations(), Catch::Equals(""));
}

// Guards against targets that are handed to a host that can't own them, and
// have no owner from then on.
TEST_CASE("a host that restarts without the store gets no targets", "[pool]") {
  const milliseconds DownTime = GENERATE(100ms, 300ms, 700ms, 2s);
  const std::uint64_t Seed = GENERATE(range<std::uint64_t>(1, 6));
  CAPTURE(DownTime.count(), Seed);
  constexpr std::size_t Hosts = 3;
  simulation_init Init;
  Init.Hosts = Hosts;
  Init.TargetsPerDomain = 12;
  Init.Seed = Seed;
  pool_simulation World(Init);
  World.settle();
  World.kill(1);
  World.runFor(DownTime);
  World.restartWithoutStore(1);
  World.runFor(3s);
  std::size_t Owned = 0;
  for (std::size_t Host = 0; Host < Hosts; ++Host) {
    Owned += World.hostMetrics(Host).TargetsOwned;
  }
  CHECK(Owned == World.targetCount());
  CHECK_THAT(World.violations(), Catch::Equals(""));
}
