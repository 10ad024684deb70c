/// Evacuation of failure domains: who learns of it when, and what starts.
#include "core/pool/evacuations_p.h"
#include "pool_simulation.h"
#include "tarragonbridge/pool/config.h"

#include <catch2/catch.hpp>
#include <functional>
#include <random>

using namespace tarragonbridge;
using namespace tarragonbridge::pool;
using namespace std::chrono_literals;

namespace {
const std::string Evacuated = "domain-0"; ///< of hosts 0, 2 and 4

/// Hosts of two failure domains under load.
class evacuation_world {
public:
  explicit evacuation_world(std::uint64_t Seed = 1, bool IsHonoured = true,
                            bool ResumesWithTimers = false)
      : Simulation(makeInit(Seed, IsHonoured, ResumesWithTimers)) {
    Simulation.settle();
  }

  /// Submits jobs to all hosts in turn for a time.
  void load(milliseconds Time) {
    constexpr milliseconds Interval{10};
    const std::vector<request_handle> New =
        submitFor(Simulation, Hosts, Time, Interval, Job,
                  "load" + std::to_string(++Loads) + "-");
    Requests.insert(Requests.end(), New.begin(), New.end());
  }
  /// @returns the attempts that start in a failure domain during a load
  std::uint64_t startsDuring(milliseconds Time,
                             const std::string &Domain = Evacuated) {
    const std::uint64_t Before = Simulation.startsIn(Domain);
    load(Time);
    return Simulation.startsIn(Domain) - Before;
  }

  static constexpr std::size_t Hosts = 6;
  simulated_job Job{"", 2, {14'000, 64, 0}, 40ms};
  pool_simulation Simulation;
  std::vector<request_handle> Requests;

private:
  static simulation_init makeInit(std::uint64_t Seed, bool IsHonoured,
                                  bool ResumesWithTimers) {
    simulation_init Init;
    Init.Hosts = Hosts;
    Init.Domains = 2;
    Init.TargetsPerDomain = 12;
    Init.Seed = Seed;
    Init.Rules.HonourEvacuations = IsHonoured;
    Init.ResumesWithTimers = ResumesWithTimers;
    return Init;
  }
  int Loads = 0;
};
} // namespace

TEST_CASE("the latest record of a failure domain counts", "[pool]") {
  struct list_case {
    std::string Name;
    std::vector<evacuation_record> Records;
    bool IsEvacuated;
  };
  const auto Case = GENERATE(values<list_case>({
      {"requested", {{"a", true, 5}}, true},
      {"of another one", {{"b", true, 5}}, false},
      {"taken back", {{"a", true, 5}, {"a", false, 6}}, false},
      {"told of late", {{"a", true, 5}, {"a", false, 4}}, true},
      {"told of again", {{"a", false, 6}, {"a", true, 5}}, false},
      {"taken back and requested again",
       {{"a", true, 5}, {"a", false, 6}, {"a", true, 7}},
       true},
  }));
  INFO(Case.Name);
  evacuation_list List;
  for (const evacuation_record &Record : Case.Records) {
    List.apply(Record);
  }
  CHECK(List.isEvacuated("a") == Case.IsEvacuated);
}

TEST_CASE("a snapshot ends the evacuations that it lacks", "[pool]") {
  evacuation_list List;
  List.apply({"a", true, 5});
  List.apply({"b", true, 6});
  List.apply({"c", true, 12}); // written after the snapshot was read
  const auto Ended = List.endMissing({{"b", true, 6}}, 10);
  CHECK(Ended == std::vector<evacuation_record>{{"a", false, 10}});
  CHECK_FALSE(List.isEvacuated("a"));
  CHECK(List.isEvacuated("b"));
  CHECK(List.isEvacuated("c"));
}

TEST_CASE("the records of evacuations are bounded", "[pool]") {
  const bool AreEnded = GENERATE(true, false);
  INFO("ended: " << AreEnded);
  evacuation_list List;
  List.apply({"evacuated", true, 1});
  for (std::uint64_t Number = 0; Number < 1'000; ++Number) {
    const std::string Domain = "d" + std::to_string(Number);
    List.apply({Domain, true, 2 * Number + 2});
    if (AreEnded) {
      List.apply({Domain, false, 2 * Number + 3});
    }
  }
  CHECK(List.records().size() <= config::MaxEvacuationRecords);
  CHECK(List.isEvacuated("evacuated"));
}

// Each moment begins with a load on an evacuated failure domain, whose hosts
// learn of it in the way that the moment leaves them.
TEST_CASE("nothing starts in an evacuated failure domain", "[pool]") {
  struct moment {
    std::string Name;
    std::function<void(evacuation_world &)> Begin;
    milliseconds LearntWithin;
  };
  const auto Moment = GENERATE(values<moment>({
      {"watched",
       [](auto &World) { World.Simulation.setEvacuated(Evacuated, true); },
       100ms},
      {"the watches miss it",
       [](auto &World) {
         World.Simulation.setEvacuated(Evacuated, true, false);
       },
       2s},
      {"its hosts don't reach the store",
       [](auto &World) {
         for (const std::size_t Host : {0U, 2U, 4U}) {
           World.Simulation.cutFromOperators(Host);
         }
         World.Simulation.setEvacuated(Evacuated, true);
       },
       500ms},
      {"one host doesn't reach the store, and is restarted there",
       [](auto &World) {
         World.Simulation.cutFromOperators(0);
         World.Simulation.setEvacuated(Evacuated, true);
         World.Simulation.kill(0);
         World.Simulation.restart(0);
       },
       500ms},
      {"a host of it is paused meanwhile",
       [](auto &World) {
         World.Simulation.pause(0);
         World.Simulation.setEvacuated(Evacuated, true, false);
         World.Simulation.runFor(3s);
         World.Simulation.resume(0);
       },
       2s},
      {"all hosts are restarted meanwhile",
       [](auto &World) {
         for (std::size_t Host = 0; Host < World.Hosts; ++Host) {
           World.Simulation.kill(Host);
         }
         World.Simulation.setEvacuated(Evacuated, true);
         for (std::size_t Host = 0; Host < World.Hosts; ++Host) {
           World.Simulation.restart(Host);
         }
       },
       0ms},
      {"beside a handover within the failure domain",
       [](auto &World) {
         World.Simulation.terminate(2, 2s);
         World.Simulation.setEvacuated(Evacuated, true);
       },
       500ms},
  }));
  INFO(Moment.Name);
  evacuation_world World;
  World.load(500ms);
  CHECK(World.startsDuring(500ms) > 0);
  Moment.Begin(World);
  World.load(Moment.LearntWithin);
  CHECK(World.startsDuring(3s) == 0);
  CHECK(World.Simulation.violations().empty());
}

TEST_CASE("an evacuation that isn't honoured breaks the rule", "[pool]") {
  evacuation_world World(1, false);
  World.Simulation.setEvacuated(Evacuated, true);
  World.load(6s);
  CHECK_THAT(World.Simulation.violations(), Catch::Contains("EVAC"));
}

TEST_CASE("callers of an evacuated failure domain are served elsewhere",
          "[pool]") {
  evacuation_world World;
  World.Simulation.setEvacuated(Evacuated, true);
  World.load(3s);
  World.Simulation.runFor(1s);
  checkJobsDone(World.Simulation, World.Requests);
}

TEST_CASE("what runs when a failure domain is evacuated finishes", "[pool]") {
  evacuation_world World;
  World.Job.RunTime = 800ms;
  World.load(100ms);
  const std::uint64_t Started = World.Simulation.startsIn(Evacuated);
  World.Simulation.setEvacuated(Evacuated, true);
  World.Simulation.runFor(2s);
  CHECK(Started > 0);
  CHECK(World.Simulation.counterTotal(counter::EndsStopped) == 0);
  checkJobsDone(World.Simulation, World.Requests);
}

TEST_CASE("all failure domains evacuated: nothing starts, jobs are refused",
          "[pool]") {
  constexpr milliseconds AtOnce{10};
  evacuation_world World;
  World.Simulation.setEvacuated("domain-0", true);
  World.Simulation.setEvacuated("domain-1", true);
  World.Simulation.runFor(100ms);
  const std::uint64_t Before = World.Simulation.startCount();
  World.load(2s);
  World.Simulation.runFor(1s);
  CHECK(World.Simulation.startCount() == Before);
  for (const request_handle Request : World.Requests) {
    CHECK(World.Simulation.responseOf(Request) == response_kind::Overloaded);
    CHECK(World.Simulation.responseTime(Request) <= AtOnce);
  }
  CHECK(World.Simulation.violations().empty());
}

TEST_CASE("a host starts nothing before it has read the evacuations",
          "[pool]") {
  evacuation_world World;
  for (std::size_t Host = 0; Host < World.Hosts; ++Host) {
    World.Simulation.kill(Host);
    World.Simulation.cutFromOperators(Host);
  }
  for (std::size_t Host = 0; Host < World.Hosts; ++Host) {
    World.Simulation.restart(Host);
  }
  const std::uint64_t Before = World.Simulation.startCount();
  World.load(2s);
  CHECK(World.Simulation.startCount() == Before);
  for (std::size_t Host = 0; Host < World.Hosts; ++Host) {
    World.Simulation.restoreOperators(Host);
  }
  World.load(2s);
  CHECK(World.Simulation.startCount() > Before);
}

// The job that a caller submitted meanwhile is handled as the host resumes; the
// store is slow, and no peer tells it.
TEST_CASE("a resumed host reads the evacuations before it starts anything",
          "[pool]") {
  const bool ResumesWithTimers = GENERATE(true, false);
  const bool IsEvacuated = GENERATE(true, false);
  INFO("timers first: " << ResumesWithTimers << ", " << IsEvacuated);
  simulation_init Init;
  Init.Hosts = 1;
  Init.ResumesWithTimers = ResumesWithTimers;
  pool_simulation Simulation(Init);
  Simulation.settle();
  Simulation.setStoreLatency(400ms);
  Simulation.pause(0);
  Simulation.runFor(2500ms);
  if (IsEvacuated) {
    Simulation.setEvacuated(Evacuated, true, false);
  }
  const request_handle Request =
      Simulation.submit(0, {"j", 1, {14'000, 64, 0}, 700ms});
  Simulation.resume(0);
  Simulation.runFor(3s);
  CHECK((Simulation.startCount() == 0) == IsEvacuated);
  CHECK(Simulation.responseOf(Request) ==
        (IsEvacuated ? response_kind::Overloaded : response_kind::JobDone));
}

TEST_CASE("a cold target gets one task at a time", "[pool]") {
  struct cold_case {
    milliseconds ColdTime;
    bool IsParallel;
  };
  const auto Case =
      GENERATE(values<cold_case>({{0ms, true}, {5s, false}, {20ms, true}}));
  INFO(Case.ColdTime.count() << " ms");
  simulation_init Init;
  Init.Hosts = 1;
  Init.TargetsPerDomain = 1;
  pool_simulation Simulation(Init);
  Simulation.settle();
  Simulation.setCold(0, Case.ColdTime);
  Simulation.runFor(50ms);
  const request_handle Request =
      Simulation.submit(0, {"j", 2, {14'000, 64, 0}, 100ms});
  Simulation.runFor(1s);
  REQUIRE(Simulation.responseOf(Request) == response_kind::JobDone);
  CHECK((Simulation.responseTime(Request) < 200ms) == Case.IsParallel);
}

TEST_CASE("a failure domain that is taken back is used again", "[pool]") {
  const milliseconds After = GENERATE(50ms, 1s, 4s);
  const bool IsWatched = GENERATE(true, false);
  INFO(After.count() << " ms, watched: " << IsWatched);
  evacuation_world World;
  World.Simulation.setEvacuated(Evacuated, true, IsWatched);
  World.load(After);
  World.Simulation.setEvacuated(Evacuated, false, IsWatched);
  World.load(2s);
  CHECK(World.startsDuring(500ms) > 0);
  CHECK(World.Simulation.hostMetrics(1).EvacuatedTargets == 0);
}

TEST_CASE("requests for unknown failure domains are ignored", "[pool]") {
  constexpr std::size_t Requests = 400;
  evacuation_world World;
  for (std::size_t Number = 0; Number < Requests; ++Number) {
    World.Simulation.setEvacuated(
        std::string(150, 'x') + std::to_string(Number), true);
  }
  World.Simulation.setEvacuated(Evacuated, true);
  World.load(1s);
  CHECK(World.startsDuring(2s) == 0);
  World.Simulation.runFor(1s);
  checkJobsDone(World.Simulation, World.Requests);
  CHECK(World.Simulation.hostMetrics(0).EvacuatedDomains == 1);
  CHECK(World.Simulation.hostMetrics(0).PeersReachable == World.Hosts - 1);
}

TEST_CASE("what a peer has missed the end of isn't believed", "[pool]") {
  evacuation_world World;
  World.Simulation.setEvacuated(Evacuated, true);
  World.load(1s);
  for (std::size_t Host = 1; Host < World.Hosts; ++Host) {
    World.Simulation.cutFromOperators(Host);
    World.Simulation.partitionHosts(0, Host);
  }
  World.Simulation.setEvacuated(Evacuated, false);
  World.Simulation.kill(0);
  World.Simulation.restart(0);
  World.Simulation.runFor(1s);
  World.Simulation.heal(); // the others tell it what they last read
  World.Simulation.runFor(1s);
  CHECK(World.Simulation.hostMetrics(0).EvacuatedDomains == 0);
}

// The gate is what holds: the same walks break the rule without it.
TEST_CASE("evacuations beside kills, pauses and cuts break no rule", "[pool]") {
  const std::uint64_t Seed = GENERATE(range<std::uint64_t>(1, 9));
  const bool IsHonoured = GENERATE(true, false);
  INFO("seed " << Seed << ", honoured: " << IsHonoured);
  evacuation_world World(Seed, IsHonoured);
  pool_simulation &Simulation = World.Simulation;
  std::mt19937_64 Random(Seed);
  const auto Below = [&Random](std::uint64_t Limit) {
    return static_cast<std::size_t>(Random() % Limit);
  };
  for (int Round = 0; Round < 4; ++Round) {
    const std::size_t Host = Below(World.Hosts);
    const std::size_t Other = (Host + 1 + Below(World.Hosts - 1)) % World.Hosts;
    const std::string Domain = "domain-" + std::to_string(Below(2));
    const std::uint64_t Disruption = Below(4);
    if (Disruption == 0) {
      Simulation.kill(Host);
    } else if (Disruption == 1) {
      Simulation.pause(Host);
    } else if (Disruption == 2) {
      Simulation.cutFromOperators(Host);
    } else {
      Simulation.partitionHosts(Host, Other);
    }
    World.load(milliseconds(Below(1'500)));
    Simulation.setEvacuated(Domain, true, Below(2) == 0);
    World.load(milliseconds(1'000 + Below(3'000)));
    if (Disruption == 0) {
      Simulation.restart(Host);
    } else if (Disruption == 1) {
      Simulation.resume(Host);
    }
    World.load(milliseconds(4'000 + Below(2'000)));
    Simulation.restoreOperators(Host);
    Simulation.heal();
    Simulation.setEvacuated(Domain, false, Below(2) == 0);
    World.load(milliseconds(Below(2'000)));
  }
  Simulation.runFor(3s);
  const std::string Broken = Simulation.violations();
  if (IsHonoured) {
    CHECK_THAT(Broken, Catch::Equals(""));
  } else {
    CHECK_THAT(Broken, Catch::Contains("EVAC"));
  }
}
