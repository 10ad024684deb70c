#include "base/log_rate_limit.h"

namespace tarragonbridge {

void log_rate_limiter::rollWindow(boot_time Now) {
  constexpr std::chrono::seconds WindowLength{1};
  if (Now < WindowEndsAt) {
    return;
  }
  WindowEndsAt = Now + WindowLength;
  Bytes = 0;
  for (const auto &[Event, Lines] : Events) {
    if (Lines.Suppressed > 0) {
      SuppressedCounts.emplace_back(Event, Lines.Suppressed);
    }
  }
  Events.clear();
}

bool log_rate_limiter::admit(std::string_view Event, std::size_t Length,
                             boot_time Now) {
  rollWindow(Now);
  const bool IsPriority = Limits.PriorityEvents.contains(Event);
  auto Found = Events.find(Event);
  if (Found == Events.end()) {
    Found = Events.emplace(Event, event_lines{}).first;
  }
  event_lines &Lines = Found->second;
  const std::size_t MaxLines =
      IsPriority ? Limits.MaxPriorityLinesPerSecond : Limits.MaxLinesPerSecond;
  const std::size_t MaxBytes =
      IsPriority ? Limits.MaxBytesPerSecond : Limits.MaxBytesPerSecond / 2;
  if (Lines.Written >= MaxLines || Bytes + Length > MaxBytes) {
    ++Lines.Suppressed;
    return false;
  }
  ++Lines.Written;
  Bytes += Length;
  return true;
}

log_rate_limiter::event_counts
log_rate_limiter::extractSuppressed(boot_time Now) {
  rollWindow(Now);
  return std::exchange(SuppressedCounts, {});
}

} // namespace tarragonbridge
