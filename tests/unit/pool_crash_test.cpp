/// Tests of tasks that crash the targets that start them.
#include "core/pool/crash_log_p.h"
#include "pool_simulation.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;
using namespace tarragonbridge::pool;
using namespace std::chrono_literals;

namespace {
constexpr std::size_t Hosts = 4;
constexpr milliseconds ResubmitDelay{1'300};

simulation_init makeInit(std::uint64_t Seed, milliseconds DownTime) {
  simulation_init Init;
  Init.Hosts = Hosts;
  Init.Domains = 2;
  Init.TargetsPerDomain = 16;
  Init.Seed = Seed;
  Init.DownTime = DownTime;
  return Init;
}

/// A caller that submits its job again, at the next host, until the answer is
/// final or the time is over.
class persistent_caller {
public:
  persistent_caller(pool_simulation &Simulation, simulated_job Job)
      : Simulation(Simulation), Job(std::move(Job)) {
    submit();
  }

  void runFor(milliseconds Time) {
    for (milliseconds Elapsed{0}; Elapsed < Time; Elapsed += Step) {
      Simulation.runFor(Step);
      if (!AnsweredAt && Simulation.responseOf(Request)) {
        AnsweredAt = Simulation.now();
      }
      const bool IsDue =
          AnsweredAt && *AnsweredAt + ResubmitDelay <= Simulation.now();
      const bool IsOpen =
          !response() || response() == response_kind::JobAbandoned;
      if (IsDue && IsOpen) {
        submit();
      }
    }
  }
  /// The connection to the host is lost.
  void loseConnection() { AnsweredAt = Simulation.now(); }
  std::optional<response_kind> response() const {
    return Simulation.responseOf(Request);
  }
  std::size_t host() const { return Host; }
  std::size_t submissions() const { return Submissions; }

private:
  static constexpr milliseconds Step{20};

  void submit() {
    Host = Submissions++ % Hosts;
    AnsweredAt.reset();
    Request = Simulation.submit(Host, Job);
  }

  pool_simulation &Simulation;
  simulated_job Job;
  request_handle Request{};
  std::size_t Host = 0;
  std::size_t Submissions = 0;
  std::optional<boot_time> AnsweredAt;
};

simulated_job makeDeadlyJob(milliseconds CrashesAfter) {
  simulated_job Job{"deadly", 4};
  Job.CrashesAfter = CrashesAfter;
  return Job;
}
} // namespace

// Guards against a job that crashes target after target while its time limit
// lasts.
TEST_CASE("a deadly task crashes two targets at most within one submission",
          "[pool]") {
  const milliseconds CrashesAfter = GENERATE(0ms, 5ms, 80ms);
  const milliseconds DownTime = GENERATE(200ms, 800ms, 3'000ms);
  const std::uint64_t Seed = GENERATE(1U, 2U, 3U);
  CAPTURE(CrashesAfter.count(), DownTime.count(), Seed);
  pool_simulation Simulation(makeInit(Seed, DownTime));
  Simulation.settle();
  simulated_job Job = makeDeadlyJob(CrashesAfter);
  Job.RunTime = 5s;
  const request_handle Request = Simulation.submit(0, Job);
  Simulation.runFor(20s);
  CHECK(Simulation.mostCrashes() <= 2);
  CHECK(Simulation.responseOf(Request) == response_kind::JobFailed);
  CHECK_THAT(Simulation.violations(), Catch::Equals(""));
}

// Guards against crashes that are forgotten when the caller submits the job
// again at another host.
TEST_CASE("a deadly task crashes few targets however often it is submitted",
          "[pool]") {
  const milliseconds CrashesAfter = GENERATE(0ms, 5ms, 80ms);
  const milliseconds DownTime = GENERATE(200ms, 1'000ms, 3'000ms, 6'000ms);
  const std::uint64_t Seed = GENERATE(1U, 2U, 3U);
  CAPTURE(CrashesAfter.count(), DownTime.count(), Seed);
  pool_simulation Simulation(makeInit(Seed, DownTime));
  Simulation.settle();
  persistent_caller Caller(Simulation, makeDeadlyJob(CrashesAfter));
  Caller.runFor(25s);
  CHECK(Simulation.mostCrashes() <= 2);
  CHECK(Caller.response() != response_kind::JobAbandoned);
  CHECK_THAT(Simulation.violations(), Catch::Equals(""));
}

// Guards against a failed host whose knowledge of the crashes is lost with it.
TEST_CASE("a deadly task stays within its budget when hosts fail", "[pool]") {
  enum class host_fault : std::uint8_t { Kill, Pause, CutHosts, CutTargets };
  const host_fault Fault =
      GENERATE(host_fault::Kill, host_fault::Pause, host_fault::CutHosts,
               host_fault::CutTargets);
  const milliseconds FaultAt = GENERATE(40ms, 700ms, 1'500ms, 2'500ms);
  const std::uint64_t Seed = GENERATE(1U, 2U, 3U);
  CAPTURE(static_cast<int>(Fault), FaultAt.count(), Seed);
  pool_simulation Simulation(makeInit(Seed, 3s));
  Simulation.settle();
  simulated_job Job = makeDeadlyJob(5ms);
  Job.RunTime = 1s;
  persistent_caller Caller(Simulation, Job);
  Caller.runFor(FaultAt);
  const std::size_t Host = Caller.host();
  if (Fault == host_fault::Kill) {
    Simulation.kill(Host);
    Caller.loseConnection();
    Caller.runFor(500ms);
    Simulation.restart(Host);
  } else if (Fault == host_fault::Pause) {
    Simulation.pause(Host);
    Caller.runFor(1s);
    Simulation.resume(Host);
  } else if (Fault == host_fault::CutHosts) {
    Simulation.partitionHosts(Host, (Host + 1) % Hosts);
    Simulation.partitionHosts(Host, (Host + 2) % Hosts);
  } else {
    Simulation.partitionFromTargets(Host);
  }
  Caller.runFor(4s);
  Simulation.heal();
  Simulation.deliverSnapshots();
  Caller.runFor(20s);
  CHECK(Simulation.mostCrashes() <= 3);
  CHECK_THAT(Simulation.violations(), Catch::Equals(""));
}

// Guards against taking a target that is cut off for one that crashed.
TEST_CASE("jobs whose owners are cut off from their targets are not given up",
          "[pool]") {
  const std::uint64_t Seed = GENERATE(1U, 2U, 3U, 4U);
  CAPTURE(Seed);
  pool_simulation Simulation(makeInit(Seed, 3s));
  Simulation.settle();
  std::vector<persistent_caller> Callers;
  for (int Number = 0; Number < 20; ++Number) {
    simulated_job Job{"j" + std::to_string(Number), 2};
    Job.RunTime = 1s;
    Callers.emplace_back(Simulation, Job);
    Simulation.runFor(20ms);
  }
  Simulation.partitionFromTargets(0);
  Simulation.runFor(1'500ms);
  Simulation.partitionFromTargets(1);
  Simulation.runFor(1'500ms);
  Simulation.heal();
  for (persistent_caller &Caller : Callers) {
    Caller.runFor(3s);
  }
  for (const persistent_caller &Caller : Callers) {
    CHECK(Caller.response() == response_kind::JobDone);
  }
  CHECK(Simulation.counterTotal(counter::GivenUpCrashes) == 0);
  CHECK_THAT(Simulation.violations(), Catch::Equals(""));
}

// Guards against blaming the tasks that shared a target with a deadly one.
TEST_CASE("the neighbours of deadly tasks are completed", "[pool]") {
  const std::uint64_t Seed = GENERATE(1U, 2U, 3U, 4U);
  CAPTURE(Seed);
  pool_simulation Simulation(makeInit(Seed, 3s));
  Simulation.settle();
  std::vector<persistent_caller> Callers;
  for (int Number = 0; Number < 10; ++Number) {
    simulated_job Job{"healthy" + std::to_string(Number), 3};
    Job.RunTime = 700ms;
    Callers.emplace_back(Simulation, Job);
  }
  persistent_caller Deadly(Simulation, makeDeadlyJob(20ms));
  Deadly.runFor(3s);
  for (persistent_caller &Caller : Callers) {
    Caller.runFor(3s);
  }
  for (const persistent_caller &Caller : Callers) {
    CHECK(Caller.response() == response_kind::JobDone);
  }
  CHECK(Simulation.mostCrashes() <= 2);
  CHECK_THAT(Simulation.violations(), Catch::Equals(""));
}

TEST_CASE("a silence counts as a crash once the target has restarted",
          "[pool]") {
  const task_ref Task{"j", 0, 1};
  const boot_time Now{100s};
  crash_log Crashes;
  Crashes.recordSilence(Task, "t", 5, true, Now);
  const auto Count = [&] {
    crash_summary Summary;
    Crashes.addTo(Summary);
    return Summary[Task];
  };
  CHECK(Count() == crash_count{0, 1});
  SECTION("responds") {
    Crashes.noteResponse("t", 5);
    CHECK(Count() == crash_count{});
  }
  SECTION("restarted") {
    Crashes.noteRestart("t", 6);
    Crashes.noteResponse("t", 6);
    CHECK(Count() == crash_count{1, 0});
  }
  SECTION("listed again") {
    Crashes.noteRestart("t", 5);
    CHECK(Count() == crash_count{0, 1});
  }
  SECTION("removed") {
    Crashes.noteRemoval("t");
    CHECK(Count() == crash_count{1, 0});
  }
  SECTION("another target") {
    Crashes.noteRestart("u", 6);
    CHECK(Count() == crash_count{0, 1});
  }
  SECTION("long ago") {
    Crashes.evictOld(Now + 31s);
    CHECK(Count() == crash_count{});
  }
}

// Guards against counting a crash again that a host tells once more after it
// was evicted: a sound job would be given up.
TEST_CASE("a crash told by a host that was evicted meanwhile counts once",
          "[pool]") {
  const bool IsCut = GENERATE(true, false);
  const std::uint64_t Seed = GENERATE(range<std::uint64_t>(1, 11));
  CAPTURE(IsCut, Seed);
  simulation_init Init = makeInit(Seed, 3s);
  Init.Domains = 1;
  Init.TargetsPerDomain = 8;
  pool_simulation World(Init);
  World.settle();
  simulated_job Sound{"j", 1};
  simulated_job Deadly = Sound;
  Deadly.CrashesAfter = 20ms;
  World.submit(0, Deadly);
  World.runFor(60ms);
  World.submit(0, Sound); // further attempts crash no target
  World.runFor(5s);
  REQUIRE(World.mostCrashes() == 1);
  const std::set<std::size_t> Others{0, 2, 3};
  for (const std::size_t Other : Others) {
    if (IsCut) {
      World.partitionHosts(1, Other);
    }
  }
  World.runFor(3s);
  if (IsCut) {
    World.post(1, World.membersWithout(Others));
  }
  World.runFor(5s);
  World.heal();
  World.deliverSnapshots();
  World.runFor(1s);
  const request_handle Again = World.submit(1, Sound);
  World.runFor(1s);
  CHECK(World.responseOf(Again) == response_kind::JobDone);
}
