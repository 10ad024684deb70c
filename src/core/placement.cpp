#include "core/placement_p.h"

#include "tarragonbridge/config.h"

#include <algorithm>

namespace tarragonbridge {

namespace {
/// @returns how many attempts this host may have out at the target
///
/// @remarks An attempt holds its connection until the reply. One past the
/// connections would wait unsent, and its lease could not be renewed.
std::size_t attemptLimit(const target_record &Target) {
  constexpr std::size_t Connections =
      config::MaxConnectionsPerTarget - config::ControlConnectionsPerTarget;
  return std::min<std::size_t>(Target.SlotShare, Connections);
}

bool hasRoom(const target_record &Target, const resources &Needs, instant Now) {
  return Target.Listed && Target.Host.State == host_state::Live &&
         Target.FullUntil <= Now.Boot &&
         Target.Running.size() < attemptLimit(Target) &&
         Needs.fitsIn(Target.Host.Capacity);
}
} // namespace

target_record *chooseTarget(dispatcher_state &State, const job_record & /*Job*/,
                            const task_record &Task, instant Now) {
  target_record *Best = nullptr;
  double BestLoad = 0;
  for (auto &[Name, Target] : State.Targets) {
    if (!hasRoom(Target, Task.Request.Needs, Now)) {
      continue;
    }
    const double Load =
        static_cast<double>(Target.Running.size()) / Target.SlotShare;
    if (Best == nullptr || Load < BestLoad) {
      Best = &Target;
      BestLoad = Load;
    }
  }
  return Best;
}

} // namespace tarragonbridge
