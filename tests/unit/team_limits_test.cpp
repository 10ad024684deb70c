#include "tarragonbridge/team_limits.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;

namespace {
constexpr resources Needs{2, 100, 1};
constexpr boot_time Start(std::chrono::hours(1));

struct limit_case {
  limit_share Share;
  int Started; ///< tasks that start at once
  std::optional<limit_kind> Bound;
};

limit_share shareOf(std::uint64_t Tasks, std::uint64_t Cores,
                    std::uint64_t Memory, std::uint64_t Accelerators) {
  limit_share Share;
  Share.RunningTasks = Tasks;
  Share.Cores = Cores;
  Share.MemoryMb = Memory;
  Share.Accelerators = Accelerators;
  return Share;
}
} // namespace

TEST_CASE("each limit stops the next start and is freed by an end") {
  const auto Case = GENERATE(values<limit_case>({
      {shareOf(3, 100, 1000, 100), 3, limit_kind::RunningTasks},
      {shareOf(100, 5, 1000, 100), 2, limit_kind::Cores},
      {shareOf(100, 100, 499, 100), 4, limit_kind::MemoryMb},
      {shareOf(100, 100, 1000, 5), 5, limit_kind::Accelerators},
      {shareOf(100, 1, 1000, 100), 1, limit_kind::Cores},
      {shareOf(100, 100, 1000, 0), 0, limit_kind::Accelerators},
      {shareOf(0, 100, 1000, 5), 0, limit_kind::RunningTasks},
      {limit_share{}, 50, std::nullopt},
  }));
  team_limiter Limiter;
  Limiter.setShare(Case.Share);
  int Started = 0;
  while (Started < 50 && !Limiter.boundBy(Needs, Start)) {
    Limiter.onStarted(Needs, Start);
    ++Started;
  }
  CHECK(Started == Case.Started);
  CHECK(Limiter.boundBy(Needs, Start) == Case.Bound);
  if (Started > 0) {
    Limiter.onEnded(Needs);
    CHECK_FALSE(Limiter.boundBy(Needs, Start));
  }
}

TEST_CASE("the rate of starts holds over any period") {
  const std::uint64_t Rate = GENERATE(1, 3, 10, 1000, 3000);
  const int PeriodMs = GENERATE(1000, 2500);
  team_limiter Limiter;
  limit_share Share;
  Share.StartsPerSecond = Rate;
  Limiter.setShare(Share);
  std::uint64_t Started = 0;
  for (int Ms = 0; Ms < PeriodMs; ++Ms) {
    const boot_time Now = Start + milliseconds(Ms);
    while (!Limiter.boundBy(Needs, Now)) {
      Limiter.onStarted(Needs, Now);
      ++Started;
    }
    CHECK(Limiter.nextStart() > Now);
  }
  CAPTURE(Rate, PeriodMs);
  CHECK(1000 * Started <= Rate * (PeriodMs + 100) + 1000);
  CHECK(1000 * (Started + 1) >= Rate * PeriodMs * 99 / 100);
}

TEST_CASE("a rate of nothing allows no start") {
  team_limiter Limiter;
  limit_share Share;
  Share.StartsPerSecond = 0;
  Limiter.setShare(Share);
  CHECK(Limiter.boundBy(Needs, Start) == limit_kind::StartsPerSecond);
  CHECK(Limiter.nextStart() == boot_time::max());
}

TEST_CASE("a task larger than a limit is never allowed") {
  team_limits Limits;
  CHECK(everAllows(Limits, {1000, 1'000'000, 1000}));
  Limits.MaxCores = 2;
  CHECK(everAllows(Limits, Needs));
  CHECK_FALSE(everAllows(Limits, {3, 0, 0}));
  Limits.MaxMemoryMb = 50;
  CHECK_FALSE(everAllows(Limits, Needs));
}
