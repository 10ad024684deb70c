#include "hosts_world.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;

namespace {
struct exploration {
  std::vector<std::string> Broken;
  std::size_t Completed = 0;
};

exploration explore(const claim_rules &Rules, std::uint64_t Seeds) {
  constexpr int Steps = 600;
  exploration Result;
  for (std::uint64_t Seed = 1; Seed <= Seeds && Result.Broken.empty(); ++Seed) {
    hosts_world World(Seed, Rules);
    for (int Step = 0; Step < Steps; ++Step) {
      World.step();
    }
    Result.Broken = World.Broken;
    Result.Completed += World.Completed;
  }
  return Result;
}
} // namespace

TEST_CASE("hosts keep their promises through losses and crashes (I1 to I9)") {
  const exploration Result = explore(claim_rules{}, 300);
  CHECK(Result.Broken == std::vector<std::string>());
  CHECK(Result.Completed > 1'000);
}

TEST_CASE("hosts break a promise without a rule") {
  const auto Rule = GENERATE(values({&claim_rules::CheckHomeIncarnation,
                                     &claim_rules::CheckHolderIncarnation}));
  claim_rules Rules;
  Rules.*Rule = false;
  CHECK_FALSE(explore(Rules, 300).Broken.empty());
}
