#include "base/log_rate_limit.h"

namespace tarragonbridge {

void log_rate_limiter::rollWindow(boot_time Now) {
  constexpr std::chrono::seconds Length{1};
  if (Now < SecondEnds) {
    return;
  }
  SecondEnds = Now + Length;
  Bytes = 0;
  for (const auto &[Event, Lines] : Events) {
    if (Lines.LeftOut > 0) {
      Summed.emplace_back(Event, Lines.LeftOut);
    }
  }
  Events.clear();
}

bool log_rate_limiter::admit(std::string_view Event, std::size_t Length,
                             boot_time Now) {
  rollWindow(Now);
  const bool IsKept = Limits.PriorityEvents.contains(Event);
  auto Found = Events.find(Event);
  if (Found == Events.end()) {
    Found = Events.emplace(Event, event_lines{}).first;
  }
  event_lines &Lines = Found->second;
  const std::size_t MostLines =
      IsKept ? Limits.MaxPriorityLinesPerSecond : Limits.MaxLinesPerSecond;
  const std::size_t MostBytes =
      IsKept ? Limits.MaxBytesPerSecond : Limits.MaxBytesPerSecond / 2;
  if (Lines.Written >= MostLines || Bytes + Length > MostBytes) {
    ++Lines.LeftOut;
    return false;
  }
  ++Lines.Written;
  Bytes += Length;
  return true;
}

log_rate_limiter::counts log_rate_limiter::extractSuppressed(boot_time Now) {
  rollWindow(Now);
  return std::exchange(Summed, {});
}

} // namespace tarragonbridge
