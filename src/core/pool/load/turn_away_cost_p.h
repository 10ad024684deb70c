/// What it costs callers to turn work away: decides which work goes first, and
/// which is delayed or refused when there is too little room.
#pragma once

#include "core/pool/queued_task_p.h"
#include "tarragonbridge/pool/config.h"

#include <compare>

namespace tarragonbridge::pool {

/// Resources multiplied by the time they are held, the scarcest first.
struct work_amount {
  std::int64_t AcceleratorTime = 0; ///< accelerators, ms
  std::int64_t CpuTime = 0;         ///< thousandths of a core, ms
  std::int64_t MemoryTime = 0;      ///< MB, ms

  bool operator==(const work_amount &) const = default;
  std::strong_ordering operator<=>(const work_amount &Other) const;
};

/// @param[in] RunTime at speed 1
work_amount workOf(const resource_vector &Required, milliseconds RunTime);

/// @returns the urgency level of a route's priority: 0 is the most urgent, all
/// priorities from the last level on share it
std::size_t urgencyLevelOf(int Priority);

/// Cost of turning a task away or delaying it. The greater one is served first,
/// the least one is dropped first.
struct turn_away_cost {
  bool CanBeInTime = true; ///< otherwise callers get little from it
  std::size_t Level = 0;   ///< see urgencyLevelOf()
  /// Latest start that meets the objective, in steps of config::UrgencyStep:
  /// within a step, work decides.
  std::int64_t LatestStartStep = 0;
  work_amount Work;

  bool operator==(const turn_away_cost &) const = default;
  std::strong_ordering operator<=>(const turn_away_cost &Other) const;
};

/// @returns whether a task can meet its objective if started now
/// @param[in] Speed of the fastest target that may run it
bool canBeInTime(const queued_task &Task, double Speed, boot_time Now);

/// @returns the cost of turning a task away now
/// @param[in] Speed of the fastest target that may run it
turn_away_cost turnAwayCost(const queued_task &Task, double Speed,
                            boot_time Now);

} // namespace tarragonbridge::pool
