/// Bounds what a process logs, so that load doesn't multiply it.
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
  std::size_t MaxLinesPerSecond = 50; ///< of each event
  std::size_t MaxPriorityLinesPerSecond =
      400; ///< of each event that is to be kept
  std::size_t MaxBytesPerSecond = 128U << 10U;
  /// Events that tell of failed requests: they may use all bytes, others half.
  std::set<std::string, std::less<>> PriorityEvents;
};

/// Lines over the limits are left out, and summed by event and second.
class log_rate_limiter {
public:
  using counts = std::vector<std::pair<std::string, std::uint64_t>>;

  explicit log_rate_limiter(log_limits Limits) : Limits(std::move(Limits)) {}

  /// @returns whether a line may be written
  bool admit(std::string_view Event, std::size_t Bytes, boot_time Now);
  /// @returns how many lines of each event were left out in the seconds that
  /// are over, once
  counts extractSuppressed(boot_time Now);

private:
  struct event_lines {
    std::size_t Written = 0;
    std::uint64_t LeftOut = 0;
  };
  /// Begins a new second when the latest is over.
  void rollWindow(boot_time Now);

  log_limits Limits;
  boot_time SecondEnds;
  std::size_t Bytes = 0;                                  ///< in this second
  std::map<std::string, event_lines, std::less<>> Events; ///< the same
  counts Summed;
};

} // namespace tarragonbridge
