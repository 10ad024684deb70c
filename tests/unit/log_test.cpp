/// Rate limits of the log, and a log whose output nobody reads.
#include "base/log.h"

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <unistd.h>

using namespace tarragonbridge;
using namespace std::chrono_literals;

namespace {
std::size_t countAdmitted(log_rate_limiter &RateLimiter, std::string_view Event,
                          std::size_t Lines, std::size_t Bytes, boot_time Now) {
  std::size_t Count = 0;
  for (std::size_t Line = 0; Line < Lines; ++Line) {
    Count += RateLimiter.admit(Event, Bytes, Now) ? 1 : 0;
  }
  return Count;
}
} // namespace

TEST_CASE("lines of one event are limited, and suppressed ones counted",
          "[log]") {
  struct limit_case {
    std::string Event;
    std::size_t Lines;
    std::size_t Bytes;
    std::size_t Admitted;
  };
  const auto Case = GENERATE(values<limit_case>({
      {"routine", 5, 100, 5},
      {"routine", 500, 100, 10},
      {"failed", 500, 100, 100},
      {"routine", 9, 2'000, 5},  // half of the byte limit
      {"failed", 12, 2'000, 10}, // the whole byte limit
      {"routine", 1, 30'000, 0},
  }));
  CAPTURE(Case.Event, Case.Lines, Case.Bytes);
  log_rate_limiter RateLimiter({10, 100, 20'000, {"failed"}});
  const boot_time Start{1s};
  CHECK(countAdmitted(RateLimiter, Case.Event, Case.Lines, Case.Bytes, Start) ==
        Case.Admitted);
  CHECK(RateLimiter.extractSuppressed(Start + 900ms).empty());
  const auto Suppressed = RateLimiter.extractSuppressed(Start + 1s);
  const std::size_t SuppressedLines = Case.Lines - Case.Admitted;
  REQUIRE(Suppressed.size() == (SuppressedLines > 0 ? 1U : 0U));
  if (SuppressedLines > 0) {
    CHECK(Suppressed[0] ==
          std::pair<std::string, std::uint64_t>(Case.Event, SuppressedLines));
  }
  CHECK(
      RateLimiter.extractSuppressed(Start + 2s).empty()); // returned only once
  CHECK(countAdmitted(RateLimiter, Case.Event, 1, 100, Start + 2s) == 1);
}

TEST_CASE("routine events leave half of the bytes to priority events",
          "[log]") {
  log_rate_limiter RateLimiter({1'000, 1'000, 20'000, {"failed"}});
  const boot_time Start{1s};
  CHECK(countAdmitted(RateLimiter, "routine", 1'000, 100, Start) == 100);
  CHECK(countAdmitted(RateLimiter, "failed", 1'000, 100, Start) == 100);
}

TEST_CASE("logging doesn't block when nobody reads standard output", "[log]") {
  std::signal(SIGPIPE, SIG_IGN); // NOLINT: of the test's process
  std::array<int, 2> Pipe{};
  REQUIRE(pipe(Pipe.data()) == 0);
  const int Output = dup(STDOUT_FILENO);
  dup2(Pipe[1], STDOUT_FILENO);
  constexpr std::size_t Lines = 40'000;
  constexpr std::size_t NoLimit = 1U << 30U;
  initLog({"test", log_writer::Caller, {NoLimit, NoLimit, NoLimit, {}}});
  for (std::size_t Line = 0; Line < Lines; ++Line) {
    logEvent("line", {{"number", std::to_string(Line)}});
    flushLog();
  }
  const std::uint64_t Dropped = logMetrics().LinesDropped;
  close(Pipe[0]);
  endLog();
  dup2(Output, STDOUT_FILENO);
  close(Output);
  close(Pipe[1]);
  CHECK(Dropped > 0);
  CHECK(Dropped < Lines);
}
