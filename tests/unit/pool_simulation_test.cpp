/// Several pool hosts under faults; checks the rules of the platform.
#include "pool_simulation.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;
using namespace tarragonbridge::pool;
using namespace std::chrono_literals;

TEST_CASE("every job completes when there are no faults", "[pool]") {
  simulation_init Init;
  Init.Hosts = GENERATE(1U, 3U, 6U);
  Init.Domains = Init.Hosts > 1 ? 2 : 1;
  pool_simulation Simulation(Init);
  Simulation.settle();
  simulated_job Job;
  Job.Tasks = 4;
  submitFor(Simulation, Init.Hosts, 3s, 100ms, Job, "j");
  Simulation.runFor(2s);
  CHECK(Simulation.count(response_kind::JobDone) == 30);
  CHECK(Simulation.startCount() == 120);
  CHECK_THAT(Simulation.violations(), Catch::Equals(""));
}

namespace {
std::uint64_t countOwned(const pool_simulation &Simulation, std::size_t Hosts) {
  std::uint64_t Owned = 0;
  for (std::size_t Host = 0; Host < Hosts; ++Host) {
    Owned += Simulation.hostMetrics(Host).TargetsOwned;
  }
  return Owned;
}
} // namespace

// All hosts lose power and come back one after the other. A host takes targets
// over once it has heard of its peers, which is a matter of a few round trips
// and not of the intervals at which states are sent.
TEST_CASE("targets have owners soon after all hosts were restarted", "[pool]") {
  constexpr milliseconds BetweenStarts{20};
  // The settle time, an assignment interval and round trips.
  constexpr milliseconds MaxTakeOverTime{200};
  simulation_init Init;
  Init.Hosts = 24;
  Init.Domains = 3;
  Init.TargetsPerDomain = 64;
  Init.Seed = GENERATE(range<std::uint64_t>(1, 6));
  CAPTURE(Init.Seed);
  pool_simulation Simulation(Init);
  Simulation.settle();
  for (std::size_t Host = 0; Host < Init.Hosts; ++Host) {
    Simulation.kill(Host);
  }
  Simulation.runFor(1s);
  for (std::size_t Host = 0; Host < Init.Hosts; ++Host) {
    Simulation.runFor(BetweenStarts);
    Simulation.restart(Host);
  }
  Simulation.runFor(MaxTakeOverTime);
  CHECK(countOwned(Simulation, Init.Hosts) == Simulation.targetCount());
  CHECK_THAT(Simulation.violations(), Catch::Equals(""));
}

TEST_CASE("each target has one owner", "[pool]") {
  simulation_init Init;
  Init.Hosts = 4;
  Init.Domains = 2;
  Init.TargetsPerDomain = 5;
  pool_simulation Simulation(Init);
  Simulation.settle();
  std::uint64_t Owned = 0;
  for (std::size_t Host = 0; Host < Init.Hosts; ++Host) {
    const std::uint64_t Here = Simulation.hostMetrics(Host).TargetsOwned;
    CHECK(Here >= 2);
    Owned += Here;
  }
  CHECK(Owned == 10);
}

TEST_CASE("a job that exceeds one owner's free capacity runs at several owners",
          "[pool]") {
  simulation_init Init;
  Init.Hosts = 3;
  Init.TargetsPerDomain = 6;
  pool_simulation Simulation(Init);
  Simulation.settle();
  simulated_job Job{"wide", 12};
  const request_handle Request = Simulation.submit(0, Job);
  Simulation.runFor(2s);
  CHECK(Simulation.responseOf(Request) == response_kind::JobDone);
  CHECK(Simulation.responseTime(Request) < 150ms);
  CHECK_THAT(Simulation.violations(), Catch::Equals(""));
}

TEST_CASE("no rule is violated when hosts are killed, paused or partitioned",
          "[pool]") {
  struct fault_case {
    std::string Name;
    std::function<void(pool_simulation &)> Begin;
    std::function<void(pool_simulation &)> End;
  };
  const fault_case Case = GENERATE(values<fault_case>({
      {"killed and restarted", [](pool_simulation &Sim) { Sim.kill(0); },
       [](pool_simulation &Sim) { Sim.restart(0); }},
      {"two killed",
       [](pool_simulation &Sim) {
         Sim.kill(0);
         Sim.kill(1);
       },
       [](pool_simulation &Sim) {
         Sim.restart(0);
         Sim.restart(1);
       }},
      {"all killed",
       [](pool_simulation &Sim) {
         for (std::size_t Host = 0; Host < 4; ++Host) {
           Sim.kill(Host);
         }
       },
       [](pool_simulation &Sim) {
         for (std::size_t Host = 0; Host < 4; ++Host) {
           Sim.restart(Host);
         }
       }},
      {"frozen", [](pool_simulation &Sim) { Sim.pause(0); },
       [](pool_simulation &Sim) { Sim.resume(0); }},
      {"partitioned from two hosts",
       [](pool_simulation &Sim) {
         Sim.partitionHosts(0, 1);
         Sim.partitionHosts(0, 2);
       },
       [](pool_simulation &Sim) { Sim.heal(); }},
      {"partitioned from all hosts",
       [](pool_simulation &Sim) {
         Sim.partitionHosts(0, 1);
         Sim.partitionHosts(0, 2);
         Sim.partitionHosts(0, 3);
       },
       [](pool_simulation &Sim) { Sim.heal(); }},
      {"partitioned from targets",
       [](pool_simulation &Sim) { Sim.partitionFromTargets(0); },
       [](pool_simulation &Sim) { Sim.heal(); }},
      {"late commands",
       [](pool_simulation &Sim) { Sim.setLateCommandFraction(0.1); },
       [](pool_simulation &Sim) { Sim.setLateCommandFraction(0); }},
      {"late commands and a kill",
       [](pool_simulation &Sim) {
         Sim.setLateCommandFraction(0.1);
         Sim.kill(2);
       },
       [](pool_simulation &Sim) {
         Sim.setLateCommandFraction(0);
         Sim.restart(2);
       }},
      {"target restarted",
       [](pool_simulation &Sim) { Sim.target(1).crash(Sim.now(), 2'000); },
       [](pool_simulation &Sim) { Sim.deliverSnapshots(); }},
      {"target paused",
       [](pool_simulation &Sim) { Sim.target(1).setSlowness(0, Sim.now()); },
       [](pool_simulation &Sim) { Sim.target(1).setSlowness(1, Sim.now()); }},
      {"target failing",
       [](pool_simulation &Sim) { Sim.target(1).setFailing(true); },
       [](pool_simulation &Sim) { Sim.target(1).setFailing(false); }},
      {"target drains", [](pool_simulation &Sim) { Sim.setDraining("t0-1"); },
       [](pool_simulation &Sim) { Sim.removeTarget("t0-1"); }},
  }));
  INFO(Case.Name);
  simulation_init Init;
  Init.Hosts = 4;
  Init.Domains = 2;
  Init.Seed = GENERATE(1U, 2U, 3U);
  Init.DatagramLoss = 0.02;
  INFO("seed " << Init.Seed);
  pool_simulation Simulation(Init);
  Simulation.settle();
  simulated_job Job;
  Job.Tasks = 3;
  submitFor(Simulation, 4, 1s, 70ms, Job, "before");
  Case.Begin(Simulation);
  submitFor(Simulation, 4, 4s, 70ms, Job, "during");
  Case.End(Simulation);
  Simulation.deliverSnapshots();
  Simulation.runFor(4s);
  const auto After = submitFor(Simulation, 4, 1s, 70ms, Job, "after");
  Simulation.runFor(6s);
  CHECK_THAT(Simulation.violations(), Catch::Equals(""));
  checkJobsDone(Simulation, After);
  CHECK(Simulation.areTargetsIdle());
}

TEST_CASE("jobs run after hosts have evicted each other's state", "[pool]") {
  // A host that isn't registered is evicted once no datagrams are received from
  // it. Its message numbers then restart on one side only.
  simulation_init Init;
  Init.Hosts = 2;
  pool_simulation Simulation(Init);
  Simulation.settle();
  simulated_job Job;
  Job.Tasks = 6;
  submitFor(Simulation, 2, 1s, 100ms, Job, "before");
  Simulation.partitionHosts(0, 1);
  Simulation.post(0, members_listed{true, {}, {}});
  Simulation.runFor(7s);
  Simulation.heal();
  Simulation.deliverSnapshots();
  Simulation.runFor(3s);
  const auto After = submitFor(Simulation, 2, 1s, 100ms, Job, "after");
  Simulation.runFor(2s);
  checkJobsDone(Simulation, After);
  CHECK_THAT(Simulation.violations(), Catch::Equals(""));
}

TEST_CASE("the tasks of a caller that disconnects are stopped", "[pool]") {
  simulation_init Init;
  pool_simulation Simulation(Init);
  Simulation.settle();
  simulated_job Job{"long", 8};
  Job.RunTime = 900ms;
  const request_handle Request = Simulation.submit(0, Job);
  Simulation.runFor(100ms);
  CHECK_FALSE(Simulation.areTargetsIdle());
  Simulation.disconnect(0, Request);
  Simulation.runFor(60ms);
  CHECK(Simulation.areTargetsIdle());
  const request_handle Again = Simulation.submit(1, Job);
  Simulation.runFor(3s);
  CHECK(Simulation.responseOf(Again) == response_kind::JobDone);
  CHECK_THAT(Simulation.violations(), Catch::Equals(""));
}

TEST_CASE(
    "tasks of a dead coordinator are stopped before the job is resubmitted",
    "[pool]") {
  constexpr milliseconds ResubmitDelay = 1'300ms;
  simulation_init Init;
  Init.Hosts = 3;
  Init.TargetsPerDomain = 9;
  pool_simulation Simulation(Init);
  Simulation.settle();
  simulated_job Job{"long", 12};
  Job.RunTime = 2s;
  Simulation.submit(0, Job);
  Simulation.runFor(100ms);
  Simulation.kill(0);
  Simulation.runFor(ResubmitDelay);
  const request_handle Again = Simulation.submit(1, Job);
  Simulation.runFor(6s);
  CHECK(Simulation.responseOf(Again) == response_kind::JobDone);
  CHECK_THAT(Simulation.violations(), Catch::Equals(""));
}

TEST_CASE("a graceful shutdown cuts nothing off", "[pool]") {
  simulation_init Init;
  Init.Hosts = 3;
  Init.Seed = GENERATE(1U, 2U);
  pool_simulation Simulation(Init);
  Simulation.settle();
  simulated_job Job;
  Job.Tasks = 2;
  Job.RunTime = 400ms;
  const auto Before = submitFor(Simulation, 3, 1s, 150ms, Job, "before");
  Simulation.terminate(0, 6s);
  Simulation.runFor(6s);
  CHECK(Simulation.hasShutDown(0));
  CHECK(Simulation.count(response_kind::JobDone) == Before.size());
  CHECK(Simulation.counterTotal(counter::EndsStopped) == 0);
  CHECK(Simulation.counterTotal(counter::EndsLost) == 0);
  CHECK_THAT(Simulation.violations(), Catch::Equals(""));
}

TEST_CASE("a pool without free capacity refuses jobs and starts none of them",
          "[pool]") {
  simulation_init Init;
  Init.Hosts = 2;
  Init.TargetsPerDomain = 2;
  pool_simulation Simulation(Init);
  Simulation.settle();
  simulated_job Job;
  Job.Tasks = 4;
  Job.RunTime = 200ms;
  submitFor(Simulation, 2, 2s, 40ms, Job, "j");
  Simulation.runFor(3s);
  CHECK(Simulation.count(response_kind::Overloaded) > 10);
  CHECK(Simulation.count(response_kind::JobDone) >= 9);
  CHECK_THAT(Simulation.violations(), Catch::Equals(""));
}

TEST_CASE("a job fails when a task has reached its maximum number of attempts",
          "[pool]") {
  pool_simulation Simulation({});
  Simulation.settle();
  simulated_job Job{"poison", 2};
  Job.Fails = true;
  const request_handle Request = Simulation.submit(0, Job);
  Simulation.runFor(1s);
  CHECK(Simulation.responseOf(Request) == response_kind::JobFailed);
  CHECK(Simulation.counterTotal(counter::EndsFailed) >= 2);
}

TEST_CASE("tasks queued at a host that shuts down are reassigned at once",
          "[pool]") {
  simulation_init Init;
  Init.Hosts = 2;
  Init.TargetsPerDomain = 4;
  pool_simulation Simulation(Init);
  Simulation.settle();
  simulated_job Job;
  Job.Tasks = 2;
  Job.RunTime = 300ms;
  std::vector<request_handle> Requests;
  for (int Number = 0; Number < 6; ++Number) {
    Job.Id = "j" + std::to_string(Number);
    Requests.push_back(Simulation.submit(1, Job));
  }
  Simulation.runFor(20ms);
  REQUIRE(Simulation.hostMetrics(0).TasksQueued > 0);
  Simulation.terminate(0, 6s);
  Simulation.runFor(3s);
  CHECK(Simulation.count(response_kind::JobAbandoned) == 0);
  for (const request_handle Request : Requests) {
    CHECK(Simulation.responseOf(Request) == response_kind::JobDone);
    CHECK(Simulation.responseTime(Request) < 1s);
  }
  CHECK_THAT(Simulation.violations(), Catch::Equals(""));
}
