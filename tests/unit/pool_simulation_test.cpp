/// Pool hosts together, under faults, with the platform's rules checked.
#include "pool_simulation.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;
using namespace tarragonbridge::pool;
using namespace std::chrono_literals;

TEST_CASE("a calm pool answers every job whole", "[pool]") {
  simulation_init Init;
  Init.Hosts = GENERATE(1U, 3U, 6U);
  Init.Domains = Init.Hosts > 1 ? 2 : 1;
  pool_simulation World(Init);
  World.settle();
  simulated_job Job;
  Job.Tasks = 4;
  submitFor(World, Init.Hosts, 3s, 100ms, Job, "j");
  World.runFor(2s);
  CHECK(World.count(response_kind::JobDone) == 30);
  CHECK(World.startsSeen() == 120);
  CHECK_THAT(World.broken(), Catch::Equals(""));
}

TEST_CASE("each target has one owner", "[pool]") {
  simulation_init Init;
  Init.Hosts = 4;
  Init.Domains = 2;
  Init.TargetsPerDomain = 5;
  pool_simulation World(Init);
  World.settle();
  std::uint64_t Owned = 0;
  for (std::size_t Host = 0; Host < Init.Hosts; ++Host) {
    const std::uint64_t Here = World.figuresOf(Host).TargetsOwned;
    CHECK(Here >= 2);
    Owned += Here;
  }
  CHECK(Owned == 10);
}

TEST_CASE("jobs wider than one owner's room run at several", "[pool]") {
  simulation_init Init;
  Init.Hosts = 3;
  Init.TargetsPerDomain = 6;
  pool_simulation World(Init);
  World.settle();
  simulated_job Job{"wide", 12};
  const request_handle Request = World.submit(0, Job);
  World.runFor(2s);
  CHECK(World.answerOf(Request) == response_kind::JobDone);
  CHECK(World.answeredAfter(Request) < 150ms);
  CHECK_THAT(World.broken(), Catch::Equals(""));
}

TEST_CASE("no rule breaks when hosts are killed, frozen or cut off", "[pool]") {
  struct fault_case {
    std::string Name;
    std::function<void(pool_simulation &)> Begin;
    std::function<void(pool_simulation &)> End;
  };
  const fault_case Case = GENERATE(values<fault_case>({
      {"killed and restarted", [](pool_simulation &W) { W.kill(0); },
       [](pool_simulation &W) { W.restart(0); }},
      {"two killed",
       [](pool_simulation &W) {
         W.kill(0);
         W.kill(1);
       },
       [](pool_simulation &W) {
         W.restart(0);
         W.restart(1);
       }},
      {"all killed",
       [](pool_simulation &W) {
         for (std::size_t Host = 0; Host < 4; ++Host) {
           W.kill(Host);
         }
       },
       [](pool_simulation &W) {
         for (std::size_t Host = 0; Host < 4; ++Host) {
           W.restart(Host);
         }
       }},
      {"frozen", [](pool_simulation &W) { W.pause(0); },
       [](pool_simulation &W) { W.resume(0); }},
      {"cut from two",
       [](pool_simulation &W) {
         W.partitionHosts(0, 1);
         W.partitionHosts(0, 2);
       },
       [](pool_simulation &W) { W.heal(); }},
      {"cut from all",
       [](pool_simulation &W) {
         W.partitionHosts(0, 1);
         W.partitionHosts(0, 2);
         W.partitionHosts(0, 3);
       },
       [](pool_simulation &W) { W.heal(); }},
      {"cut from targets",
       [](pool_simulation &W) { W.partitionFromTargets(0); },
       [](pool_simulation &W) { W.heal(); }},
      {"late orders", [](pool_simulation &W) { W.setLateOrders(0.1); },
       [](pool_simulation &W) { W.setLateOrders(0); }},
      {"late orders and a kill",
       [](pool_simulation &W) {
         W.setLateOrders(0.1);
         W.kill(2);
       },
       [](pool_simulation &W) {
         W.setLateOrders(0);
         W.restart(2);
       }},
      {"target reborn",
       [](pool_simulation &W) { W.target(1).crash(W.now(), 2'000); },
       [](pool_simulation &W) { W.listAll(); }},
      {"target frozen",
       [](pool_simulation &W) { W.target(1).setSlowness(0, W.now()); },
       [](pool_simulation &W) { W.target(1).setSlowness(1, W.now()); }},
      {"target failing",
       [](pool_simulation &W) { W.target(1).setFailing(true); },
       [](pool_simulation &W) { W.target(1).setFailing(false); }},
      {"target drains", [](pool_simulation &W) { W.setDraining("t0-1"); },
       [](pool_simulation &W) { W.removeTarget("t0-1"); }},
  }));
  INFO(Case.Name);
  simulation_init Init;
  Init.Hosts = 4;
  Init.Domains = 2;
  Init.Seed = GENERATE(1U, 2U, 3U);
  Init.DatagramLoss = 0.02;
  INFO("seed " << Init.Seed);
  pool_simulation World(Init);
  World.settle();
  simulated_job Job;
  Job.Tasks = 3;
  submitFor(World, 4, 1s, 70ms, Job, "before");
  Case.Begin(World);
  submitFor(World, 4, 4s, 70ms, Job, "during");
  Case.End(World);
  World.listAll();
  World.runFor(4s);
  const auto After = submitFor(World, 4, 1s, 70ms, Job, "after");
  World.runFor(6s);
  CHECK_THAT(World.broken(), Catch::Equals(""));
  checkDone(World, After);
  CHECK(World.isEverythingIdle());
}

TEST_CASE("jobs run again after hosts forgot each other", "[pool]") {
  // Hosts that aren't registered are forgotten when silent; the numbers of
  // messages then begin anew on one side only.
  simulation_init Init;
  Init.Hosts = 2;
  pool_simulation World(Init);
  World.settle();
  simulated_job Job;
  Job.Tasks = 6;
  submitFor(World, 2, 1s, 100ms, Job, "before");
  World.partitionHosts(0, 1);
  World.post(0, members_listed{true, {}, {}});
  World.runFor(7s);
  World.heal();
  World.listAll();
  World.runFor(3s);
  const auto After = submitFor(World, 2, 1s, 100ms, Job, "after");
  World.runFor(2s);
  checkDone(World, After);
  CHECK_THAT(World.broken(), Catch::Equals(""));
}

TEST_CASE("a caller that leaves has its tasks stopped", "[pool]") {
  simulation_init Init;
  pool_simulation World(Init);
  World.settle();
  simulated_job Job{"long", 8};
  Job.Work = 900ms;
  const request_handle Request = World.submit(0, Job);
  World.runFor(100ms);
  CHECK_FALSE(World.isEverythingIdle());
  World.leave(0, Request);
  World.runFor(60ms);
  CHECK(World.isEverythingIdle());
  const request_handle Again = World.submit(1, Job);
  World.runFor(3s);
  CHECK(World.answerOf(Again) == response_kind::JobDone);
  CHECK_THAT(World.broken(), Catch::Equals(""));
}

TEST_CASE("tasks of a coordinator that died are stopped before a resubmission",
          "[pool]") {
  constexpr milliseconds ResendAfter = 1'300ms;
  simulation_init Init;
  Init.Hosts = 3;
  Init.TargetsPerDomain = 9;
  pool_simulation World(Init);
  World.settle();
  simulated_job Job{"long", 12};
  Job.Work = 2s;
  World.submit(0, Job);
  World.runFor(100ms);
  World.kill(0);
  World.runFor(ResendAfter);
  const request_handle Again = World.submit(1, Job);
  World.runFor(6s);
  CHECK(World.answerOf(Again) == response_kind::JobDone);
  CHECK_THAT(World.broken(), Catch::Equals(""));
}

TEST_CASE("a graceful shutdown cuts nothing off", "[pool]") {
  simulation_init Init;
  Init.Hosts = 3;
  Init.Seed = GENERATE(1U, 2U);
  pool_simulation World(Init);
  World.settle();
  simulated_job Job;
  Job.Tasks = 2;
  Job.Work = 400ms;
  const auto Before = submitFor(World, 3, 1s, 150ms, Job, "before");
  World.terminate(0, 6s);
  World.runFor(6s);
  CHECK(World.hasEnded(0));
  CHECK(World.count(response_kind::JobDone) == Before.size());
  CHECK(World.counted(counter::EndsStopped) == 0);
  CHECK(World.counted(counter::EndsLost) == 0);
  CHECK_THAT(World.broken(), Catch::Equals(""));
}

TEST_CASE("a pool without room refuses, and truly", "[pool]") {
  simulation_init Init;
  Init.Hosts = 2;
  Init.TargetsPerDomain = 2;
  pool_simulation World(Init);
  World.settle();
  simulated_job Job;
  Job.Tasks = 4;
  Job.Work = 200ms;
  submitFor(World, 2, 2s, 40ms, Job, "j");
  World.runFor(3s);
  CHECK(World.count(response_kind::Overloaded) > 10);
  CHECK(World.count(response_kind::JobDone) >= 9);
  CHECK_THAT(World.broken(), Catch::Equals(""));
}

TEST_CASE("a job fails when a task has failed as often as it may", "[pool]") {
  pool_simulation World({});
  World.settle();
  simulated_job Job{"poison", 2};
  Job.Fails = true;
  const request_handle Request = World.submit(0, Job);
  World.runFor(1s);
  CHECK(World.answerOf(Request) == response_kind::JobFailed);
  CHECK(World.counted(counter::EndsFailed) >= 2);
}

TEST_CASE("what waits at a host that leaves goes elsewhere at once", "[pool]") {
  simulation_init Init;
  Init.Hosts = 2;
  Init.TargetsPerDomain = 4;
  pool_simulation World(Init);
  World.settle();
  simulated_job Job;
  Job.Tasks = 2;
  Job.Work = 300ms;
  std::vector<request_handle> Requests;
  for (int Number = 0; Number < 6; ++Number) {
    Job.Id = "j" + std::to_string(Number);
    Requests.push_back(World.submit(1, Job));
  }
  World.runFor(20ms);
  REQUIRE(World.figuresOf(0).TasksQueued > 0);
  World.terminate(0, 6s);
  World.runFor(3s);
  CHECK(World.count(response_kind::JobAbandoned) == 0);
  for (const request_handle Request : Requests) {
    CHECK(World.answerOf(Request) == response_kind::JobDone);
    CHECK(World.answeredAfter(Request) < 1s);
  }
  CHECK_THAT(World.broken(), Catch::Equals(""));
}
