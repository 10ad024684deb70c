/// Jobs that are cancelled by their callers.
#include "pool_simulation.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;
using namespace tarragonbridge::pool;
using namespace std::chrono_literals;

// Guards against UNASKED: a copy of the submission that arrives after the
// cancelling was acknowledged starts the job again.
TEST_CASE("a late copy of a cancelled job's submission starts nothing",
          "[pool]") {
  const bool IsOpen = GENERATE(true, false); ///< when it is cancelled
  const milliseconds CopyDelay = GENERATE(10ms, 1s, 4s, 14s);
  const std::uint64_t Seed = GENERATE(1U, 2U, 3U);
  CAPTURE(IsOpen, CopyDelay.count(), Seed);
  simulation_init Init;
  Init.Hosts = 2;
  Init.Seed = Seed;
  pool_simulation World(Init);
  World.settle();
  simulated_job Job{"j", 2};
  Job.RunTime = 3s;
  if (IsOpen) {
    World.submit(0, Job);
    World.runFor(500ms);
  }
  World.cancel(0, Job);
  World.runFor(CopyDelay);
  const std::uint64_t Before = World.startCount();
  const request_handle Copy = World.submit(0, Job);
  World.runFor(4s);
  CHECK(World.startCount() == Before);
  CHECK(World.responseOf(Copy) == response_kind::Cancelled);
}
