#include "tarragonbridge/team_limits.h"

#include <algorithm>

namespace tarragonbridge {

namespace {
constexpr microseconds Second = std::chrono::seconds(1);

bool isWithin(std::uint64_t Limit, std::uint64_t Use, std::uint64_t More) {
  return More <= Limit && Use <= Limit - More;
}

/// @returns the time between two starts at a rate that is not zero
microseconds startInterval(std::uint64_t PerSecond) {
  if (PerSecond == limit_share::Unlimited) {
    return microseconds::zero();
  }
  const auto Rate = static_cast<std::int64_t>(PerSecond);
  return (Second + microseconds(Rate - 1)) / Rate;
}

/// @returns whether a task may take this much of a resource
bool mayTake(std::uint64_t Limit, std::uint64_t Use, std::uint64_t More) {
  // Admission has checked the need against the limit of all hosts.
  const bool IsAlone = Use == 0 && Limit != 0;
  return IsAlone || isWithin(Limit, Use, More);
}

std::uint64_t orUnlimited(std::uint64_t Limit) {
  return Limit == 0 ? limit_share::Unlimited : Limit;
}
} // namespace

limit_share wholeShare(const team_limits &Limits) {
  return {orUnlimited(Limits.MaxRunningTasks),
          orUnlimited(Limits.MaxStartsPerSecond), orUnlimited(Limits.MaxCores),
          orUnlimited(Limits.MaxMemoryMb), orUnlimited(Limits.MaxAccelerators)};
}

bool everAllows(const team_limits &Limits, const resources &Needs) {
  const limit_share Whole = wholeShare(Limits);
  return Needs.Cores <= Whole.Cores && Needs.MemoryMb <= Whole.MemoryMb &&
         Needs.Accelerators <= Whole.Accelerators;
}

std::optional<limit_kind> team_limiter::boundBy(const resources &Needs,
                                                boot_time Now) const {
  if (!isWithin(Share.RunningTasks, Use.RunningTasks, 1)) {
    return limit_kind::RunningTasks;
  }
  if (!mayTake(Share.Cores, Use.Cores, Needs.Cores)) {
    return limit_kind::Cores;
  }
  if (!mayTake(Share.MemoryMb, Use.MemoryMb, Needs.MemoryMb)) {
    return limit_kind::MemoryMb;
  }
  if (!mayTake(Share.Accelerators, Use.Accelerators, Needs.Accelerators)) {
    return limit_kind::Accelerators;
  }
  if (nextStart() > Now) {
    return limit_kind::StartsPerSecond;
  }
  return std::nullopt;
}

boot_time team_limiter::nextStart() const {
  if (Share.StartsPerSecond == 0) {
    return boot_time::max();
  }
  const microseconds Interval = startInterval(Share.StartsPerSecond);
  return PacedUntil - std::max(BurstWindow - Interval, microseconds::zero());
}

void team_limiter::onStarted(const resources &Needs, boot_time Now) {
  ++Use.RunningTasks;
  Use.Cores += Needs.Cores;
  Use.MemoryMb += Needs.MemoryMb;
  Use.Accelerators += Needs.Accelerators;
  if (Share.StartsPerSecond != 0) {
    PacedUntil =
        std::max(PacedUntil, Now) + startInterval(Share.StartsPerSecond);
  }
}

void team_limiter::onEnded(const resources &Needs) {
  --Use.RunningTasks;
  Use.Cores -= Needs.Cores;
  Use.MemoryMb -= Needs.MemoryMb;
  Use.Accelerators -= Needs.Accelerators;
}

} // namespace tarragonbridge
