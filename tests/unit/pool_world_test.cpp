/// Pool hosts together, under faults, with the platform's rules checked.
#include "pool_world.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;
using namespace tarragonbridge::pool;
using namespace std::chrono_literals;

namespace {
/// Submits jobs evenly over all hosts for a time.
std::vector<request_handle> submitFor(pool_world &World, std::size_t Hosts,
                                      milliseconds Time, milliseconds Gap,
                                      const world_job &Like,
                                      const std::string &Prefix) {
  std::vector<request_handle> Requests;
  for (milliseconds Passed{0}; Passed < Time; Passed += Gap) {
    world_job Job = Like;
    Job.Id = Prefix + std::to_string(Requests.size());
    Requests.push_back(World.submit(Requests.size() % Hosts, Job));
    World.runFor(Gap);
  }
  return Requests;
}

void checkDone(const pool_world &World,
               const std::vector<request_handle> &Requests) {
  for (const request_handle Request : Requests) {
    CHECK(World.answerOf(Request) == answer_kind::JobDone);
  }
}
} // namespace

TEST_CASE("a calm pool answers every job whole", "[pool]") {
  world_init Init;
  Init.Hosts = GENERATE(1U, 3U, 6U);
  Init.Domains = Init.Hosts > 1 ? 2 : 1;
  pool_world World(Init);
  World.settle();
  world_job Job;
  Job.Tasks = 4;
  submitFor(World, Init.Hosts, 3s, 100ms, Job, "j");
  World.runFor(2s);
  CHECK(World.count(answer_kind::JobDone) == 30);
  CHECK(World.startsSeen() == 120);
  CHECK_THAT(World.broken(), Catch::Equals(""));
}

TEST_CASE("each target has one owner", "[pool]") {
  world_init Init;
  Init.Hosts = 4;
  Init.Domains = 2;
  Init.TargetsPerDomain = 5;
  pool_world World(Init);
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
  world_init Init;
  Init.Hosts = 3;
  Init.TargetsPerDomain = 6;
  pool_world World(Init);
  World.settle();
  world_job Job{"wide", 12};
  const request_handle Request = World.submit(0, Job);
  World.runFor(2s);
  CHECK(World.answerOf(Request) == answer_kind::JobDone);
  CHECK(World.answeredAfter(Request) < 150ms);
  CHECK_THAT(World.broken(), Catch::Equals(""));
}

TEST_CASE("no rule breaks when hosts are killed, frozen or cut off", "[pool]") {
  struct fault_case {
    std::string Name;
    std::function<void(pool_world &)> Begin;
    std::function<void(pool_world &)> End;
  };
  const fault_case Case = GENERATE(values<fault_case>({
      {"killed and restarted", [](pool_world &W) { W.kill(0); },
       [](pool_world &W) { W.restart(0); }},
      {"two killed",
       [](pool_world &W) {
         W.kill(0);
         W.kill(1);
       },
       [](pool_world &W) {
         W.restart(0);
         W.restart(1);
       }},
      {"all killed",
       [](pool_world &W) {
         for (std::size_t Host = 0; Host < 4; ++Host) {
           W.kill(Host);
         }
       },
       [](pool_world &W) {
         for (std::size_t Host = 0; Host < 4; ++Host) {
           W.restart(Host);
         }
       }},
      {"frozen", [](pool_world &W) { W.freeze(0); },
       [](pool_world &W) { W.wake(0); }},
      {"cut from two",
       [](pool_world &W) {
         W.cutHosts(0, 1);
         W.cutHosts(0, 2);
       },
       [](pool_world &W) { W.heal(); }},
      {"cut from all",
       [](pool_world &W) {
         W.cutHosts(0, 1);
         W.cutHosts(0, 2);
         W.cutHosts(0, 3);
       },
       [](pool_world &W) { W.heal(); }},
      {"cut from targets", [](pool_world &W) { W.cutFromTargets(0); },
       [](pool_world &W) { W.heal(); }},
      {"late orders", [](pool_world &W) { W.setLateOrders(0.1); },
       [](pool_world &W) { W.setLateOrders(0); }},
      {"late orders and a kill",
       [](pool_world &W) {
         W.setLateOrders(0.1);
         W.kill(2);
       },
       [](pool_world &W) {
         W.setLateOrders(0);
         W.restart(2);
       }},
      {"target reborn",
       [](pool_world &W) { W.target(1).crash(W.now(), 2'000); },
       [](pool_world &W) { W.listAll(); }},
      {"target frozen",
       [](pool_world &W) { W.target(1).setSlowness(0, W.now()); },
       [](pool_world &W) { W.target(1).setSlowness(1, W.now()); }},
      {"target failing", [](pool_world &W) { W.target(1).setFailing(true); },
       [](pool_world &W) { W.target(1).setFailing(false); }},
      {"target drains", [](pool_world &W) { W.setDraining("t0-1"); },
       [](pool_world &W) { W.removeTarget("t0-1"); }},
  }));
  INFO(Case.Name);
  world_init Init;
  Init.Hosts = 4;
  Init.Domains = 2;
  Init.Seed = GENERATE(1U, 2U, 3U);
  Init.DatagramLoss = 0.02;
  INFO("seed " << Init.Seed);
  pool_world World(Init);
  World.settle();
  world_job Job;
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
  world_init Init;
  Init.Hosts = 2;
  pool_world World(Init);
  World.settle();
  world_job Job;
  Job.Tasks = 6;
  submitFor(World, 2, 1s, 100ms, Job, "before");
  World.cutHosts(0, 1);
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
  world_init Init;
  pool_world World(Init);
  World.settle();
  world_job Job{"long", 8};
  Job.Work = 900ms;
  const request_handle Request = World.submit(0, Job);
  World.runFor(100ms);
  CHECK_FALSE(World.isEverythingIdle());
  World.leave(0, Request);
  World.runFor(60ms);
  CHECK(World.isEverythingIdle());
  const request_handle Again = World.submit(1, Job);
  World.runFor(3s);
  CHECK(World.answerOf(Again) == answer_kind::JobDone);
  CHECK_THAT(World.broken(), Catch::Equals(""));
}

TEST_CASE("tasks of a coordinator that died are stopped before a resubmission",
          "[pool]") {
  constexpr milliseconds ResendAfter = 1'300ms;
  world_init Init;
  Init.Hosts = 3;
  Init.TargetsPerDomain = 9;
  pool_world World(Init);
  World.settle();
  world_job Job{"long", 12};
  Job.Work = 2s;
  World.submit(0, Job);
  World.runFor(100ms);
  World.kill(0);
  World.runFor(ResendAfter);
  const request_handle Again = World.submit(1, Job);
  World.runFor(6s);
  CHECK(World.answerOf(Again) == answer_kind::JobDone);
  CHECK_THAT(World.broken(), Catch::Equals(""));
}

TEST_CASE("a graceful shutdown cuts nothing off", "[pool]") {
  world_init Init;
  Init.Hosts = 3;
  Init.Seed = GENERATE(1U, 2U);
  pool_world World(Init);
  World.settle();
  world_job Job;
  Job.Tasks = 2;
  Job.Work = 400ms;
  const auto Before = submitFor(World, 3, 1s, 150ms, Job, "before");
  World.terminate(0, 6s);
  World.runFor(6s);
  CHECK(World.hasEnded(0));
  CHECK(World.count(answer_kind::JobDone) == Before.size());
  CHECK(World.counted(counter::EndsStopped) == 0);
  CHECK(World.counted(counter::EndsLost) == 0);
  CHECK_THAT(World.broken(), Catch::Equals(""));
}

TEST_CASE("a pool without room refuses, and truly", "[pool]") {
  world_init Init;
  Init.Hosts = 2;
  Init.TargetsPerDomain = 2;
  pool_world World(Init);
  World.settle();
  world_job Job;
  Job.Tasks = 4;
  Job.Work = 200ms;
  submitFor(World, 2, 2s, 40ms, Job, "j");
  World.runFor(3s);
  CHECK(World.count(answer_kind::Overloaded) > 10);
  CHECK(World.count(answer_kind::JobDone) >= 9);
  CHECK_THAT(World.broken(), Catch::Equals(""));
}

TEST_CASE("a job fails when a task has failed as often as it may", "[pool]") {
  pool_world World({});
  World.settle();
  world_job Job{"poison", 2};
  Job.Fails = true;
  const request_handle Request = World.submit(0, Job);
  World.runFor(1s);
  CHECK(World.answerOf(Request) == answer_kind::JobFailed);
  CHECK(World.counted(counter::EndsFailed) >= 2);
}

TEST_CASE("what waits at a host that leaves goes elsewhere at once", "[pool]") {
  world_init Init;
  Init.Hosts = 2;
  Init.TargetsPerDomain = 4;
  pool_world World(Init);
  World.settle();
  world_job Job;
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
  CHECK(World.count(answer_kind::JobAbandoned) == 0);
  for (const request_handle Request : Requests) {
    CHECK(World.answerOf(Request) == answer_kind::JobDone);
    CHECK(World.answeredAfter(Request) < 1s);
  }
  CHECK_THAT(World.broken(), Catch::Equals(""));
}

// Tokens of one process rise, also when it gives a target up and takes it anew:
// an order from before would else be carried out beside the new ones.
TEST_CASE("a target that is taken anew gets a higher token", "[pool]") {
  world_init Init;
  Init.Hosts = 1;
  Init.TargetsPerDomain = 1;
  pool_world World(Init);
  World.settle();
  const std::uint64_t Before = World.target(0).highestToken();
  World.post(0, targets_listed{true, {}, {}});
  World.runFor(500ms);
  REQUIRE(World.figuresOf(0).TargetsOwned == 0);
  World.listAll();
  World.runFor(4s);
  REQUIRE(World.figuresOf(0).TargetsOwned == 1);
  CHECK(World.target(0).highestToken() > Before);
}

// A start that came back refused after a standstill: its coordinator has given
// the task up meanwhile, and its caller may have sent the job elsewhere.
TEST_CASE("a host that wakes begins nothing for a silent coordinator",
          "[pool]") {
  world_init Init;
  Init.Hosts = 2;
  pool_world World(Init);
  World.settle();
  world_job Job{"long", 6};
  Job.Work = 2s;
  World.cutFromTargets(0);
  World.submit(1, Job);
  for (int Step = 0; Step < 20 && World.figuresOf(0).AttemptsRunning == 0;
       ++Step) {
    World.runFor(1ms);
  }
  REQUIRE(World.figuresOf(0).AttemptsRunning > 0);
  World.freeze(0);
  const order_outcome Outcome =
      GENERATE(order_outcome::NotSent, order_outcome::NoRoom);
  INFO(nameOf(Outcome));
  // What it finds first when it wakes: the answer to the last task's start.
  World.post(0, start_answered{"t0-2",
                               {Job.Id, 0, Job.Tasks - 1, 1},
                               World.target(2).highestToken(),
                               Outcome,
                               std::nullopt});
  World.runFor(1'300ms);
  const std::uint64_t Before = World.counted(counter::AttemptsStarted);
  World.heal();
  World.wake(0);
  World.runFor(5ms);
  CHECK(World.counted(counter::StartsRefused) > 0);
  CHECK(World.counted(counter::AttemptsStarted) == Before);
}

// An offer that wasn't acknowledged is sent again and again: once its job is
// given up, it must not arrive before the word that it is.
TEST_CASE("a host that wakes takes no offer of a job given up meanwhile",
          "[pool]") {
  world_init Init;
  Init.Hosts = 2;
  Init.Seed = GENERATE(1U, 2U, 3U);
  const milliseconds Standstill =
      GENERATE(1'000ms, 1'100ms, 1'200ms, 1'300ms, 1'400ms, 1'500ms, 2'200ms);
  CAPTURE(Init.Seed, Standstill.count());
  pool_world World(Init);
  World.settle();
  World.freeze(0);
  world_job Job{"wide", 8};
  const request_handle Request = World.submit(1, Job);
  World.runFor(Standstill);
  REQUIRE(World.answerOf(Request) == answer_kind::JobAbandoned);
  const std::uint64_t Before = World.startsSeen();
  World.wake(0);
  World.runFor(2s);
  CHECK(World.startsSeen() == Before);
}

TEST_CASE("a cancel that overtakes its offer holds", "[pool]") {
  world_init Init;
  Init.Hosts = 2;
  Init.Seed = GENERATE(range(1U, 12U));
  CAPTURE(Init.Seed);
  pool_world World(Init);
  World.settle();
  world_job Job{"wide", 8};
  Job.Work = 2s;
  const request_handle Request = World.submit(1, Job);
  World.leave(1, Request);
  World.runFor(60ms);
  CHECK(World.isEverythingIdle());
}

// What fails at once is free at once: it would draw ever more work.
TEST_CASE("a target that fails everything gets probes only", "[pool]") {
  world_init Init;
  Init.Hosts = 2;
  Init.TargetsPerDomain = 6;
  Init.Seed = GENERATE(1U, 2U, 3U);
  pool_world World(Init);
  World.settle();
  constexpr std::uint64_t TasksAtOnce = 2;
  constexpr std::uint64_t FailuresUntilAside = 3;
  constexpr std::uint64_t ProbesIn4s = 2; // set aside for 2 s, then 4 s
  World.target(1).setFailing(true);
  world_job Job;
  Job.Tasks = 2;
  submitFor(World, 2, 4s, 50ms, Job, "during");
  World.target(1).setFailing(false);
  World.runFor(9s); // its last probe comes after the longest time aside
  const std::uint64_t Failed = World.counted(counter::EndsFailed);
  CHECK(Failed > 0);
  CHECK(Failed <= FailuresUntilAside + TasksAtOnce + ProbesIn4s);
  const std::uint64_t Before = World.counted(counter::JobsDone);
  const auto After = submitFor(World, 2, 3s, 50ms, Job, "after");
  World.runFor(1s);
  CHECK(World.counted(counter::JobsDone) == Before + After.size());
  CHECK_THAT(World.broken(), Catch::Equals(""));
}

TEST_CASE("when most targets fail, none is set aside", "[pool]") {
  world_init Init;
  Init.Hosts = 1;
  Init.TargetsPerDomain = 4;
  pool_world World(Init);
  World.settle();
  for (std::size_t Target = 0; Target < 4; ++Target) {
    World.target(Target).setFailing(true);
  }
  world_job Job;
  submitFor(World, 1, 2s, 50ms, Job, "during");
  CHECK(World.count(answer_kind::Overloaded) == 0);
  for (std::size_t Target = 0; Target < 4; ++Target) {
    World.target(Target).setFailing(false);
  }
  World.runFor(200ms);
  const auto After = submitFor(World, 1, 1s, 50ms, Job, "after");
  World.runFor(500ms);
  checkDone(World, After);
}
