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

// Guards against UNASKED: a caller's DELETE reaches another host than its POST,
// is acknowledged there, and the job runs on.
TEST_CASE("a job is cancelled at whichever host its caller reaches", "[pool]") {
  const std::size_t Hosts = GENERATE(2U, 5U, 12U);
  const std::uint64_t Seed = GENERATE(1U, 2U, 3U);
  CAPTURE(Hosts, Seed);
  simulation_init Init;
  Init.Hosts = Hosts;
  Init.Domains = 2;
  Init.DatagramLoss = 0.05;
  Init.Seed = Seed;
  pool_simulation World(Init);
  World.settle();
  simulated_job Job{"j", 2};
  Job.RunTime = 5s;
  const request_handle Request = World.submit(0, Job);
  World.runFor(500ms);
  REQUIRE_FALSE(World.areTargetsIdle());
  World.cancel(Hosts - 1, Job);
  World.runFor(1s);
  CHECK(World.responseOf(Request) == response_kind::Cancelled);
  CHECK(World.areTargetsIdle());
}

namespace {
/// Cancels ever new jobs, or the same one again and again.
void cancelMany(pool_simulation &World, std::size_t Count, bool AreNew) {
  for (std::size_t Index = 0; Index < Count; ++Index) {
    World.cancel(0, {AreNew ? "x" + std::to_string(Index) : "x"});
  }
}
} // namespace

// Guards against TWICE: cancellations push out the record of a job that has
// run, and its resubmission runs it again.
TEST_CASE("cancellations push out no record of a job that has run", "[pool]") {
  const bool AreNew = GENERATE(true, false);
  CAPTURE(AreNew);
  simulation_init Init;
  Init.Hosts = 1;
  Init.Limits.MaxEndedJobs = 200;
  Init.Limits.MaxCancelledJobs = 200;
  pool_simulation World(Init);
  World.settle();
  const simulated_job Job{"j", 2};
  const request_handle First = World.submit(0, Job);
  World.runFor(1s);
  REQUIRE(World.responseOf(First) == response_kind::JobDone);
  const std::uint64_t Starts = World.startCount();
  cancelMany(World, 1'000, AreNew);
  World.runFor(1s);
  const request_handle Again = World.submit(0, Job);
  World.runFor(1s);
  CHECK(World.responseOf(Again) == response_kind::JobDone);
  CHECK(World.startCount() == Starts);
  CHECK((World.count(response_kind::Overloaded) > 0) == AreNew);
}

// Guards against memory without bound: what is passed on to a host that doesn't
// answer is kept for seconds, for each host.
TEST_CASE("cancellations that can't be passed on are refused", "[pool]") {
  constexpr std::size_t Cancellations = 1'000;
  constexpr std::size_t Hosts = 5;
  simulation_init Init;
  Init.Hosts = Hosts;
  Init.Limits.MaxUnackedMessages = 400;
  pool_simulation World(Init);
  World.settle();
  for (std::size_t Host = 1; Host < Hosts; ++Host) {
    World.cutDatagrams(0, Host);
    World.cutDatagrams(Host, 0);
  }
  cancelMany(World, Cancellations, true);
  World.runFor(1s);
  const std::size_t MaxAccepted = Init.Limits.MaxUnackedMessages / (Hosts - 1);
  CHECK(World.count(response_kind::Overloaded) >= Cancellations - MaxAccepted);
  World.heal();
  World.runFor(20s);
  const std::size_t Refused = World.count(response_kind::Overloaded);
  World.cancel(0, {"later"});
  World.runFor(1s);
  CHECK(World.count(response_kind::Overloaded) == Refused);
}
