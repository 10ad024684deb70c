#include "tarragonbridge/shares.h"

#include <catch2/catch.hpp>
#include <numeric>
#include <random>

using namespace tarragonbridge;

namespace {
std::vector<share_member> makeMembers(std::size_t Count) {
  std::vector<share_member> Members;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Members.push_back({"host-" + std::to_string(Index), std::nullopt});
  }
  return Members;
}

std::uint64_t sum(const std::vector<std::uint64_t> &Values) {
  return std::accumulate(Values.begin(), Values.end(), std::uint64_t{0});
}

struct share_case {
  std::uint64_t Units;
  std::vector<int> Wanted; ///< -1: unknown
  std::vector<std::uint64_t> Shares;
};
} // namespace

TEST_CASE("shares follow demand above the guaranteed part") {
  const auto Case = GENERATE(values<share_case>({
      {80, {-1, -1, -1, -1}, {20, 20, 20, 20}},
      {80, {0, 0, 0, 0}, {20, 20, 20, 20}},
      {80, {100, 0, 0, 0}, {50, 10, 10, 10}},
      {80, {100, 100, 0, 0}, {30, 30, 10, 10}},
      {80, {100, 15, -1, 0}, {28, 15, 27, 10}},
      {80, {30, 10, 10, 10}, {35, 15, 15, 15}},
      {4, {9, 0, 0, 0}, {1, 1, 1, 1}},
      {1, {0, 9, 0, 0}, {0, 1, 0, 0}},
      {0, {9, 9}, {0, 0}},
      {80, {}, {}},
  }));
  std::vector<share_member> Members = makeMembers(Case.Wanted.size());
  for (std::size_t Index = 0; Index < Members.size(); ++Index) {
    if (Case.Wanted[Index] >= 0) {
      Members[Index].Demand = {static_cast<std::uint64_t>(Case.Wanted[Index]),
                               0, 1};
    }
  }
  std::vector<std::uint64_t> Shares =
      divideLimit({"slots", Case.Units, 1}, Members);
  CAPTURE(Case.Units, Case.Wanted);
  REQUIRE(Shares.size() == Case.Shares.size());
  CHECK(sum(Shares) <= Case.Units);
  for (std::size_t Index = 0; Index < Shares.size(); ++Index) {
    CHECK(Shares[Index] == Approx(Case.Shares[Index]).margin(1));
  }
}

TEST_CASE("fewer units than hosts go round so that each host gets its turn") {
  const std::uint64_t Units = GENERATE(1, 3, 7);
  const std::vector<share_member> Members = makeMembers(8);
  std::vector<std::uint64_t> Turns(Members.size());
  for (std::uint64_t Turn = 0; Turn < 200; ++Turn) {
    const auto Shares = divideLimit({"running", Units, Turn}, Members);
    CHECK(sum(Shares) == Units);
    for (std::size_t Index = 0; Index < Shares.size(); ++Index) {
      Turns[Index] += Shares[Index];
    }
  }
  for (const std::uint64_t Count : Turns) {
    CHECK(Count >= 200 * Units / 8 / 2);
  }
}

TEST_CASE("shares hold the largest need of one task") {
  std::vector<share_member> Members = makeMembers(4);
  for (share_member &Member : Members) {
    Member.Demand = {1000, 0, 24};
  }
  const auto Shares = divideLimit({"cores", 60, 5}, Members);
  CHECK(sum(Shares) == 60);
  CHECK(std::count_if(Shares.begin(), Shares.end(),
                      [](std::uint64_t Share) { return Share >= 24; }) == 2);
}

TEST_CASE("use that others report beyond their shares is left to them") {
  std::vector<share_member> Members = makeMembers(2);
  Members[1].Demand = {90, 60, 1};
  CHECK(usableShare({"running", 80, 0}, Members, "host-0") == 20);
  Members[1].Demand = {90, 80, 1};
  CHECK(usableShare({"running", 80, 0}, Members, "host-0") == 20);
  Members[1].Demand = {90, 45, 1};
  CHECK(usableShare({"running", 80, 0}, Members, "host-0") == 35);
  CHECK(usableShare({"running", 80, 0}, Members, "other") == 0);
}

TEST_CASE("the stated bounds hold for equal and for different views") {
  std::mt19937_64 Random(4); // NOLINT: the seed is fixed
  const auto Draw = [&](std::uint64_t Max) { return Random() % (Max + 1); };
  for (int Round = 0; Round < 2000; ++Round) {
    const std::uint64_t Hosts = 1 + Draw(11);
    const share_limit Limit{"limit", Draw(300), Draw(5)};
    std::vector<share_member> Members = makeMembers(Hosts);
    std::uint64_t Sum = 0;
    std::uint64_t Bound = 0;
    for (const share_member &Self : makeMembers(Hosts)) {
      for (share_member &Member : Members) {
        Member.Demand = Draw(2) == 0 ? std::optional<share_demand>()
                                     : share_demand{Draw(400), Draw(100), 1};
      }
      std::shuffle(Members.begin(), Members.end(), Random);
      CHECK(sum(divideLimit(Limit, Members)) == Limit.Units);
      const std::uint64_t Guaranteed = guaranteedPart(Limit, Members);
      const std::uint64_t Usable = usableShare(Limit, Members, Self.Host);
      CHECK(Usable >= Guaranteed);
      Sum += Usable;
      Bound += Limit.Units - (Hosts - 1) * Guaranteed;
    }
    CHECK(Sum <= Bound);
    CHECK(2 * Sum <= (Hosts + 1) * Limit.Units + 2 * Hosts * Hosts);
  }
}

namespace {
struct overshoot_case {
  std::uint64_t Units;
  std::size_t Hosts;
  std::uint64_t Worst; ///< sum when each host sees only its own demand
};
} // namespace

TEST_CASE("worst overshoot when every host sees only its own demand") {
  const auto [Units, Hosts, Worst] = GENERATE(values<overshoot_case>({
      {80, 1, 80},
      {80, 2, 120},
      {80, 4, 200},
      {80, 8, 360},
      {8, 8, 8},
      {3, 8, 24},
  }));
  std::uint64_t Sum = 0;
  for (std::size_t Self = 0; Self < Hosts; ++Self) {
    std::vector<share_member> Members = makeMembers(Hosts);
    for (share_member &Member : Members) {
      Member.Demand = share_demand{};
    }
    Members[Self].Demand->Wanted = 1000;
    Sum += usableShare({"limit", Units, 0}, Members, Members[Self].Host);
  }
  CHECK(Sum == Worst);
}
