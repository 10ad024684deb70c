/// Hosts whose time of day steps, by which their processes are numbered.
#include "pool_simulation.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;
using namespace tarragonbridge::pool;
using namespace std::chrono_literals;

// Guards against a process that its peers ignore for good: its number is lower
// than that of the process before it.
TEST_CASE("a host serves after its clock was set back and it restarted",
          "[pool]") {
  constexpr std::size_t Hosts = 4;
  const milliseconds DownTime = GENERATE(100ms, 800ms, 2s);
  const bool IsTerminated = GENERATE(true, false);
  const std::uint64_t Seed = GENERATE(range<std::uint64_t>(1, 6));
  CAPTURE(DownTime.count(), IsTerminated, Seed);
  simulation_init Init;
  Init.Hosts = Hosts;
  Init.TargetsPerDomain = 8;
  Init.Seed = Seed;
  pool_simulation World(Init);
  World.settle();
  World.kill(0);
  World.runFor(2s);
  World.restart(0);
  World.runFor(1500ms); // shorter than the step
  if (IsTerminated) {
    World.terminate(0, 100ms);
    World.runFor(100ms);
  }
  World.kill(0);
  World.stepClock(0, -2'400ms);
  World.runFor(DownTime);
  World.restart(0);
  World.runFor(3s);
  simulated_job Job;
  Job.Tasks = 2;
  Job.RunTime = 30ms;
  checkJobsDone(World, submitFor(World, Hosts, 2s, 100ms, Job, "after"));
  CHECK(World.hostMetrics(0).TargetsOwned > 0);
  CHECK_THAT(World.violations(), Catch::Equals(""));
}
