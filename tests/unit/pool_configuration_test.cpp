/// Configuration changes are applied on every host in time, with few reads of
/// the store.
#include "pool_simulation.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;
using namespace tarragonbridge::pool;
using namespace std::chrono_literals;

namespace {
constexpr std::size_t Hosts = 24;
constexpr milliseconds MaxApplyTime{2'000}; // required by users' sites

simulation_init makeInit() {
  simulation_init Init;
  Init.Hosts = Hosts;
  Init.Domains = 3;
  Init.TargetsPerDomain = 16;
  Init.DatagramLoss = 0.02;
  return Init;
}

std::size_t countApplied(const pool_simulation &Simulation,
                         std::int64_t Version, std::size_t From = 0) {
  std::size_t Count = 0;
  for (std::size_t Host = From; Host < Hosts; ++Host) {
    Count +=
        Simulation.hostMetrics(Host).ConfigurationVersion == Version ? 1 : 0;
  }
  return Count;
}
} // namespace

TEST_CASE("a change that every watch has missed is applied in time", "[pool]") {
  pool_simulation Simulation(makeInit());
  Simulation.settle();
  Simulation.runFor(milliseconds(GENERATE(0, 150, 300, 450, 600, 750)));
  Simulation.setConfigurationVersion(2);
  Simulation.runFor(MaxApplyTime);
  CHECK(countApplied(Simulation, 2) == Hosts);
}

TEST_CASE("a change is applied in time though the first hosts to read it die",
          "[pool]") {
  pool_simulation Simulation(makeInit());
  Simulation.settle();
  Simulation.setConfigurationVersion(2);
  // One host in each failure domain.
  constexpr std::size_t KilledHosts = 3;
  for (std::size_t Host = 0; Host < KilledHosts; ++Host) {
    Simulation.kill(Host);
  }
  Simulation.runFor(MaxApplyTime);
  CHECK(countApplied(Simulation, 2, KilledHosts) == Hosts - KilledHosts);
}

TEST_CASE("few hosts of a failure domain poll the configuration often",
          "[pool]") {
  pool_simulation Simulation(makeInit());
  Simulation.settle();
  const std::uint64_t Before = Simulation.configurationReads();
  Simulation.runFor(8s);
  // Two hosts per domain poll every 0.8 s and the others every 4 s; each may
  // poll once more within the time.
  CHECK(Simulation.configurationReads() - Before <= 3 * 2 * 11 + 18 * 3);
}

TEST_CASE("a host alone in its failure domain polls the configuration itself",
          "[pool]") {
  simulation_init Init = makeInit();
  Init.Domains = Hosts;
  Init.TargetsPerDomain = 1;
  pool_simulation Simulation(Init);
  Simulation.settle();
  for (std::size_t Host = 1; Host < Hosts; ++Host) {
    Simulation.partitionHosts(0, Host);
  }
  Simulation.runFor(1s);
  Simulation.setConfigurationVersion(2);
  Simulation.runFor(MaxApplyTime);
  CHECK(countApplied(Simulation, 2) == Hosts);
}
