#include "core/health_p.h"

#include "core/placement_index_p.h"

namespace tarragonbridge {

namespace {
/// @returns whether one more target of the failure domain may be set aside
bool mayBeSetAside(const dispatcher_state &State, const target_record &Target,
                   boot_time Now) {
  std::size_t Listed = 0;
  std::size_t NotWell = 1;
  for (const auto &[Name, Other] : State.Targets) {
    if (Other.Host.FailureDomain != Target.Host.FailureDomain ||
        !Other.Listed) {
      continue;
    }
    ++Listed;
    const bool IsOther = &Other != &Target;
    NotWell += IsOther && Other.Health.state(Now) != health_state::Well ? 1 : 0;
  }
  return static_cast<double>(NotWell) <=
         config::MaxAsidePart * static_cast<double>(Listed);
}
} // namespace

void noteAttemptEnd(dispatcher_state &State, target_record &Target,
                    const std::string &JobKey, attempt_input Input,
                    instant Now) {
  if (Input == attempt_input::Done) {
    Target.Health.onDone();
    return;
  }
  const bool HasFailed =
      Input == attempt_input::Failed || Input == attempt_input::ReplyLost;
  if (!HasFailed || !Target.Health.onFailed(JobKey) ||
      !mayBeSetAside(State, Target, Now.Boot)) {
    return;
  }
  State.Figures.Reasons.add(reason::TargetSetAside);
  Target.FullUntil = Target.Health.setAside(Now.Boot);
  setTimer(State, Target.FullUntil, timer_kind::Dispatch);
  refreshTarget(State, Target, Now.Boot);
}

} // namespace tarragonbridge
