/// The configuration comes into force everywhere, at little cost to the store.
#include "pool_simulation.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;
using namespace tarragonbridge::pool;
using namespace std::chrono_literals;

namespace {
constexpr std::size_t Hosts = 24;
constexpr milliseconds Bound{2'000}; // of the users' sites

simulation_init manyHosts() {
  simulation_init Init;
  Init.Hosts = Hosts;
  Init.Domains = 3;
  Init.TargetsPerDomain = 16;
  Init.DatagramLoss = 0.02;
  return Init;
}

std::size_t countInForce(const pool_simulation &World, std::int64_t Version,
                         std::size_t From = 0) {
  std::size_t Count = 0;
  for (std::size_t Host = From; Host < Hosts; ++Host) {
    Count += World.figuresOf(Host).ConfigurationVersion == Version ? 1 : 0;
  }
  return Count;
}
} // namespace

TEST_CASE("a change that every watch has missed is in force in time",
          "[pool]") {
  pool_simulation World(manyHosts());
  World.settle();
  World.runFor(milliseconds(GENERATE(0, 150, 300, 450, 600, 750)));
  World.setConfiguration(2);
  World.runFor(Bound);
  CHECK(countInForce(World, 2) == Hosts);
}

TEST_CASE("a change is in force in time though its first readers die",
          "[pool]") {
  pool_simulation World(manyHosts());
  World.settle();
  World.setConfiguration(2);
  // One in each failure domain.
  constexpr std::size_t Dead = 3;
  for (std::size_t Host = 0; Host < Dead; ++Host) {
    World.kill(Host);
  }
  World.runFor(Bound);
  CHECK(countInForce(World, 2, Dead) == Hosts - Dead);
}

TEST_CASE("few hosts of a failure domain read the configuration often",
          "[pool]") {
  pool_simulation World(manyHosts());
  World.settle();
  const std::uint64_t Before = World.configurationReads();
  World.runFor(8s);
  // Two readers a domain each 0.8 s, the others each 4 s, and one for chance.
  CHECK(World.configurationReads() - Before <= 3 * 2 * 11 + 18 * 3);
}

TEST_CASE("a host alone in its failure domain reads the configuration itself",
          "[pool]") {
  simulation_init Init = manyHosts();
  Init.Domains = Hosts;
  Init.TargetsPerDomain = 1;
  pool_simulation World(Init);
  World.settle();
  for (std::size_t Host = 1; Host < Hosts; ++Host) {
    World.partitionHosts(0, Host);
  }
  World.runFor(1s);
  World.setConfiguration(2);
  World.runFor(Bound);
  CHECK(countInForce(World, 2) == Hosts);
}
