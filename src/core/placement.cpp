#include "core/placement_p.h"

namespace tarragonbridge {

namespace {
bool hasRoom(const target_record &Target, const resources &Needs, instant Now) {
  return Target.Listed && Target.Host.State == host_state::Live &&
         Target.FullUntil <= Now.Boot &&
         Target.Running.size() < Target.Host.Slots &&
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
        static_cast<double>(Target.Running.size()) / Target.Host.Slots;
    if (Best == nullptr || Load < BestLoad) {
      Best = &Target;
      BestLoad = Load;
    }
  }
  return Best;
}

} // namespace tarragonbridge
