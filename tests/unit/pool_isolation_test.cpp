/// Hosts that are cut off from all others, and from the store, for so long that
/// the others evict them.
#include "pool_simulation.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

using namespace tarragonbridge;
using namespace tarragonbridge::pool;
using namespace std::chrono_literals;

namespace {
constexpr std::size_t Hosts = 4;
constexpr milliseconds CutTime{8'000};
constexpr milliseconds RegistrationTime{3'000}; ///< without a renewal

/// Lists all running hosts but some, to all but those.
void listWithout(pool_simulation &World,
                 const std::set<std::size_t> &Isolated) {
  for (std::size_t Host = 0; Host < Hosts; ++Host) {
    if (!Isolated.contains(Host)) {
      World.post(Host, World.membersWithout(Isolated));
    }
  }
}

/// Cuts hosts off from all others and from the store for CutTime.
void isolate(pool_simulation &World, const std::set<std::size_t> &Isolated) {
  for (const std::size_t Host : Isolated) {
    for (std::size_t Other = 0; Other < Hosts; ++Other) {
      if (Other != Host) {
        World.partitionHosts(Host, Other);
      }
    }
  }
  World.runFor(RegistrationTime);
  listWithout(World, Isolated);
  World.runFor(CutTime - RegistrationTime);
  World.heal();
  World.deliverSnapshots();
}

simulation_init worldOf(std::uint64_t Seed) {
  simulation_init Init;
  Init.Hosts = Hosts;
  Init.TargetsPerDomain = 8;
  Init.Seed = Seed;
  if (std::getenv("TRACE_ISOLATION") != nullptr) {
    Init.Trace = [](boot_time At, const std::string &Line) {
      std::cout << std::chrono::duration<double>(At.time_since_epoch()).count()
                << " " << Line << "\n";
    };
  }
  return Init;
}

/// Submits jobs of which many are offered more than once: hosts compete for the
/// same free capacity.
void submitContended(pool_simulation &World, milliseconds Time,
                     const std::string &Prefix) {
  simulated_job Job;
  Job.Tasks = 4;
  Job.RunTime = 30ms;
  submitFor(World, Hosts, Time, 5ms, Job, Prefix);
}
} // namespace

TEST_CASE("no task runs again when a host that was isolated twice returns",
          "[pool]") {
  const std::uint64_t Seed = GENERATE(range<std::uint64_t>(1, 11));
  CAPTURE(Seed);
  pool_simulation World(worldOf(Seed));
  World.settle();
  submitContended(World, 1s, "before");
  isolate(World, {0});
  submitContended(World, 8s, "between");
  World.runFor(2s);
  const std::uint64_t StartsBefore = World.startCount();
  isolate(World, {0});
  World.runFor(2s);
  CHECK(World.startCount() == StartsBefore);
  CHECK_THAT(World.violations(), Catch::Equals(""));
}

namespace {
/// Cuts the paths between the first host and all others; all stay registered.
void cutFirstHost(pool_simulation &World) {
  for (std::size_t Other = 1; Other < Hosts; ++Other) {
    World.partitionHosts(0, Other);
  }
}

/// Ends some other job, with which old records of ended jobs are evicted.
void endOtherJob(pool_simulation &World) {
  simulated_job Other{"other", 1};
  Other.RunTime = 10ms;
  World.submit(0, Other);
  World.runFor(300ms);
}

simulated_job longJob() {
  simulated_job Job{"j", 8};
  Job.RunTime = 3s;
  return Job;
}
} // namespace

// Guards against a number of an earlier attempt that is used again while an
// owner still has to tell how that attempt ended.
TEST_CASE("the outcome of an earlier submission doesn't end an attempt of a "
          "later one: record of its second end",
          "[pool]") {
  const std::uint64_t Seed = GENERATE(range<std::uint64_t>(1, 21));
  CAPTURE(Seed);
  pool_simulation World(worldOf(Seed));
  World.settle();
  const request_handle First = World.submit(0, longJob());
  World.runFor(300ms);
  World.disconnect(0, First);
  World.runFor(13'200ms);
  World.submit(0, longJob());
  World.runFor(300ms);
  cutFirstHost(World);
  World.runFor(2s); // given up after 0.9 s
  endOtherJob(World);
  World.submit(0, longJob());
  World.runFor(200ms);
  World.heal();
  World.runFor(6s);
  CHECK_THAT(World.violations(), Catch::Equals(""));
}

TEST_CASE("the outcome of an earlier submission doesn't end an attempt of a "
          "later one: long cut",
          "[pool]") {
  struct cut_case {
    milliseconds CutTime{};
    bool IsResubmittedInCut = true;
  };
  const cut_case Case = GENERATE(
      values<cut_case>({{8s, true}, {17s, true}, {10s, false}, {17s, false}}));
  const std::uint64_t Seed = GENERATE(range<std::uint64_t>(1, 11));
  CAPTURE(Case.CutTime.count(), Case.IsResubmittedInCut, Seed);
  pool_simulation World(worldOf(Seed));
  World.settle();
  World.submit(0, longJob());
  World.runFor(300ms);
  cutFirstHost(World);
  World.runFor(Case.CutTime - 500ms);
  endOtherJob(World);
  if (!Case.IsResubmittedInCut) {
    World.runFor(200ms);
    World.heal();
  }
  World.submit(0, longJob());
  World.runFor(200ms);
  World.heal();
  World.runFor(6s);
  CHECK_THAT(World.violations(), Catch::Equals(""));
}

// Guards against a peer that is begun anew as an earlier process of itself, so
// that its new session, with the offers in it, is lost.
TEST_CASE("an outdated list of hosts doesn't reset a host that just restarted",
          "[pool]") {
  const microseconds StaleAfter =
      GENERATE(400us, 800us, 1200us, 1600us, 2000us, 2400us, 2800us, 3200us,
               4000us, 5000us, 10000us);
  const std::uint64_t Seed = GENERATE(range<std::uint64_t>(1, 11));
  CAPTURE(StaleAfter.count(), Seed);
  pool_simulation World(worldOf(Seed));
  World.settle();
  const members_listed Stale = World.membersWithout({});
  World.runFor(1s);
  World.kill(0);
  World.runFor(1500ms);
  World.restart(0);
  simulated_job Job;
  Job.Tasks = 2;
  Job.RunTime = 30ms;
  constexpr microseconds Interval{200};
  constexpr microseconds SubmissionTime{12'000};
  for (microseconds Elapsed{0}; Elapsed < SubmissionTime; Elapsed += Interval) {
    if (Elapsed == StaleAfter) {
      for (std::size_t Host = 1; Host < Hosts; ++Host) {
        World.post(Host, members_listed(Stale));
      }
    }
    Job.Id = "j" + std::to_string(Elapsed.count());
    World.submit(0, Job);
    World.runFor(Interval);
  }
  World.runFor(3s);
  CHECK(World.count(response_kind::JobAbandoned) == 0);
  CHECK_THAT(World.violations(), Catch::Equals(""));
}

namespace {
/// How the first host is cut off from the others.
enum class isolation : std::uint8_t { Both, From, To, Pause };

void beginIsolation(pool_simulation &World, isolation Kind) {
  if (Kind == isolation::Pause) {
    World.pause(0);
    return;
  }
  for (std::size_t Other = 1; Other < Hosts; ++Other) {
    if (Kind != isolation::To) {
      World.cutDatagrams(0, Other);
    }
    if (Kind != isolation::From) {
      World.cutDatagrams(Other, 0);
    }
  }
}

void endIsolation(pool_simulation &World, isolation Kind) {
  if (Kind == isolation::Pause) {
    World.resume(0);
  }
  World.heal();
  World.deliverSnapshots();
}

/// Checks that hosts without work send no message again and start no task.
void checkIsQuiet(pool_simulation &World) {
  const std::uint64_t Resent = World.counterTotal(counter::MessagesResent);
  const std::uint64_t Starts = World.startCount();
  World.runFor(3s);
  CHECK(World.counterTotal(counter::MessagesResent) == Resent);
  CHECK(World.startCount() == Starts);
  CHECK(World.areTargetsIdle());
}
} // namespace

TEST_CASE("hosts work together again after each kind of isolation", "[pool]") {
  const isolation Kind = GENERATE(isolation::Both, isolation::From,
                                  isolation::To, isolation::Pause);
  const bool IsUnlisted = GENERATE(true, false);
  const bool LosesOthers = GENERATE(true, false); // and evicts them, too
  const std::uint64_t Seed = GENERATE(1U, 2U);
  CAPTURE(static_cast<int>(Kind), IsUnlisted, LosesOthers, Seed);
  pool_simulation World(worldOf(Seed));
  World.settle();
  for (const std::string Round : {"first", "second"}) {
    submitContended(World, 1s, Round + "busy");
    beginIsolation(World, Kind);
    submitContended(World, 1s, Round + "cut");
    World.runFor(2s);
    if (IsUnlisted) {
      listWithout(World, {0});
    }
    if (LosesOthers && Kind != isolation::Pause) {
      World.post(0, World.membersWithout({1, 2, 3}));
    }
    World.runFor(5s);
    endIsolation(World, Kind);
    World.runFor(600ms);
    simulated_job Light;
    Light.Tasks = 2;
    Light.RunTime = 30ms;
    checkJobsDone(World,
                  submitFor(World, Hosts, 2s, 100ms, Light, Round + "light"));
    World.runFor(1s);
    checkIsQuiet(World);
  }
  CHECK_THAT(World.violations(), Catch::Equals(""));
}
