#include "core/pool/load/turn_away_cost_p.h"

#include "core/pool/placement_p.h"

#include <algorithm>
#include <tuple>

namespace tarragonbridge::pool {

std::strong_ordering work_amount::operator<=>(const work_amount &Other) const {
  return std::tie(AcceleratorTime, CpuTime, MemoryTime) <=>
         std::tie(Other.AcceleratorTime, Other.CpuTime, Other.MemoryTime);
}

work_amount workOf(const resource_vector &Required, milliseconds RunTime) {
  return {Required.Accelerators * RunTime.count(),
          Required.CpuMilli * RunTime.count(),
          Required.MemoryMb * RunTime.count()};
}

std::size_t urgencyLevelOf(int Priority) {
  constexpr int LastLevel = static_cast<int>(config::UrgencyLevels) - 1;
  return static_cast<std::size_t>(std::clamp(Priority, 0, LastLevel));
}

std::strong_ordering
turn_away_cost::operator<=>(const turn_away_cost &Other) const {
  if (CanBeInTime != Other.CanBeInTime) {
    return CanBeInTime <=> Other.CanBeInTime;
  }
  if (Level != Other.Level) {
    return Other.Level <=> Level;
  }
  if (LatestStartStep != Other.LatestStartStep) {
    return Other.LatestStartStep <=> LatestStartStep;
  }
  return Other.Work <=> Work;
}

bool canBeInTime(const queued_task &Task, double Speed, boot_time Now) {
  return Now + runTime(Task.ExpectedRunTime, Speed) <= Task.ObjectiveDeadline;
}

turn_away_cost turnAwayCost(const queued_task &Task, double Speed,
                            boot_time Now) {
  const boot_time LatestStart = Task.ObjectiveDeadline - Task.ExpectedRunTime;
  return {canBeInTime(Task, Speed, Now), urgencyLevelOf(Task.Priority),
          LatestStart.time_since_epoch() / config::UrgencyStep,
          workOf(Task.RequiredResources, Task.ExpectedRunTime)};
}

} // namespace tarragonbridge::pool
