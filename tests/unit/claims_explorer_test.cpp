#include "claims_model.h"

#include <catch2/catch.hpp>

#include <random>
#include <unordered_set>

using namespace tarragonbridge;

namespace {
struct exploration {
  bool AnyStartedTwice = false;
  std::size_t States = 0;
};

/// Visits every state within the budget, each once.
exploration exploreAll(const claims_model &First) {
  exploration Result;
  std::unordered_set<std::string> Seen{fingerprint(First)};
  std::vector<claims_model> Open{First};
  while (!Open.empty() && !Result.AnyStartedTwice) {
    const claims_model Model = std::move(Open.back());
    Open.pop_back();
    ++Result.States;
    for (claims_model &Next : nextStates(Model)) {
      Result.AnyStartedTwice = Result.AnyStartedTwice || Next.Starts > 1;
      if (Seen.insert(fingerprint(Next)).second) {
        Open.push_back(std::move(Next));
      }
    }
  }
  return Result;
}

/// Follows random orders of events.
exploration exploreRandomly(const claims_model &First, int Runs, int Steps) {
  exploration Result;
  std::mt19937_64 Random(1);
  for (int Run = 0; Run < Runs && !Result.AnyStartedTwice; ++Run) {
    claims_model Model = First;
    for (int Step = 0; Step < Steps; ++Step) {
      std::vector<claims_model> Next = nextStates(Model);
      if (Next.empty()) {
        break;
      }
      Model = std::move(Next[Random() % Next.size()]);
      ++Result.States;
      Result.AnyStartedTwice = Result.AnyStartedTwice || Model.Starts > 1;
    }
  }
  return Result;
}

struct rule_case {
  const char *Name;
  bool claim_rules::*Rule;
};

/// Enough for each rule's hole, and small enough to visit every state.
constexpr model_budget SmallBudget{3, 1, 1, 0, 1, 1, 1};
} // namespace

TEST_CASE("no order of messages starts a key twice (I1 to I7)") {
  const auto [Hosts, Budget] = GENERATE(table<std::size_t, model_budget>({
      {2, {3, 1, 1, 1, 1, 1, 1}},
      {3, {2, 1, 1, 1, 1, 1, 1}},
      {3, {3, 1, 1, 0, 0, 1, 0}},
      {3, {3, 1, 0, 1, 1, 0, 1}},
  }));
  const exploration Result =
      exploreAll(makeModel(claim_rules{}, Budget, Hosts));
  CAPTURE(Hosts, Result.States);
  CHECK_FALSE(Result.AnyStartedTwice);
}

TEST_CASE("random orders with many faults start no key twice (I1 to I7)") {
  const model_budget Budget{12, 6, 6, 4, 4, 6, 1};
  const exploration Result =
      exploreRandomly(makeModel(claim_rules{}, Budget, 3), 3'000, 60);
  CHECK_FALSE(Result.AnyStartedTwice);
}

TEST_CASE("a key starts twice when a rule is removed") {
  const auto [Name, Rule] = GENERATE(values<rule_case>({
      {"I1 home incarnation", &claim_rules::CheckHomeIncarnation},
      {"I2 holder incarnation", &claim_rules::CheckHolderIncarnation},
      {"I3 one record", &claim_rules::KeepOneRecord},
      {"I4 answer number", &claim_rules::CheckAnswerNumber},
      {"I5 release number", &claim_rules::CheckReleaseNumber},
      {"I6 no release while pending", &claim_rules::KeepPendingClaims},
      {"I7 refuse old", &claim_rules::RefuseOld},
  }));
  CAPTURE(Name);
  claim_rules Rules;
  Rules.*Rule = false;
  CHECK(exploreAll(makeModel(Rules, SmallBudget, 3)).AnyStartedTwice);
}
