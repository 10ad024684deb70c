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
