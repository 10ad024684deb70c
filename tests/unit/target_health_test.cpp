#include "dispatcher_fixture.h"
#include "tarragonbridge/config.h"
#include "tarragonbridge/target_health.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;

namespace {
constexpr boot_time Start(std::chrono::hours(1));
constexpr resources Ample{64, 65'536, 0};
} // namespace

TEST_CASE("a bad job makes no bad target", "[health]") {
  target_health Health;
  for (int Task = 0; Task < 10; ++Task) {
    CHECK_FALSE(Health.onFailed("a"));
  }
  CHECK_FALSE(Health.onFailed("b"));
  CHECK(Health.onFailed("c"));
}

TEST_CASE("each failed probe doubles the time aside, and a result ends it",
          "[health]") {
  target_health Health;
  boot_time Now = Start;
  milliseconds Expected = config::MinAsideTime;
  for (int Round = 0; Round < 10; ++Round) {
    CHECK(Health.setAside(Now) - Now == Expected);
    CHECK(Health.state(Now) == health_state::Aside);
    Now += Expected;
    CHECK(Health.state(Now) == health_state::Probing);
    CHECK(Health.onFailed("k" + std::to_string(Round)));
    Expected = std::min(2 * Expected, config::MaxAsideTime);
  }
  Health.onDone();
  CHECK(Health.state(Now) == health_state::Well);
}

namespace {
struct failing_case {
  int Targets;
  int Failing;
  std::uint64_t SetAside; ///< within the time that they are first aside
};
} // namespace

TEST_CASE("targets that fail everything are set aside, up to half of a domain",
          "[health]") {
  const auto [Targets, Failing, SetAside] = GENERATE(
      values<failing_case>({{4, 1, 1}, {4, 2, 2}, {4, 4, 2}, {1, 1, 0}}));
  dispatcher_fixture Fixture;
  Fixture.listTargets(Targets, 2, Ample);
  for (int Number = 0; Number < 60; ++Number) {
    Fixture.Started.clear();
    Fixture.submit(Number, false);
    for (const start_task &Start : std::vector(Fixture.Started)) {
      const bool Fails = Start.Target.back() - '0' < Failing;
      Fixture.reply(Start, Fails ? reply_kind::Failed : reply_kind::Done,
                    reason::TargetError);
    }
  }
  CHECK(Fixture.count(reason::TargetSetAside) == SetAside);
  CHECK(figures(*Fixture.State).JobsFailed >= 3 * SetAside);
  CHECK((Failing == Targets ||
         figures(*Fixture.State).JobsCompleted >= 60 - 6 * SetAside));
}
