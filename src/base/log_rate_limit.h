/// Rate limits of a process's log, so that its volume doesn't grow with load.
#pragma once

#include "tarragonbridge/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tarragonbridge {

struct log_limits {
  std::size_t MaxLinesPerSecond = 50;          ///< per event
  std::size_t MaxPriorityLinesPerSecond = 400; ///< per priority event
  std::size_t MaxBytesPerSecond = 128U << 10U;
  /// Events of failed requests: they may use all bytes, other events half of
  /// them.
  std::set<std::string, std::less<>> PriorityEvents;
};

/// Suppresses lines over the limits, and counts them per event and
/// second.
class log_rate_limiter {
public:
  using event_counts = std::vector<std::pair<std::string, std::uint64_t>>;

  explicit log_rate_limiter(log_limits Limits) : Limits(std::move(Limits)) {}

  /// @returns whether a line may be written
  bool admit(std::string_view Event, std::size_t Bytes, boot_time Now);
  /// @returns the number of suppressed lines per event in the seconds that have
  /// passed; each is returned once
  event_counts extractSuppressed(boot_time Now);

private:
  struct event_lines {
    std::size_t Written = 0;
    std::uint64_t Suppressed = 0;
  };
  /// Starts a new window of a second if the current one is over.
  void rollWindow(boot_time Now);

  log_limits Limits;
  boot_time WindowEndsAt;
  std::size_t Bytes = 0; ///< admitted in this window
  std::map<std::string, event_lines, std::less<>> Events; ///< of this window
  event_counts SuppressedCounts;
};

} // namespace tarragonbridge
