#include "tarragonbridge/target_health.h"

#include "tarragonbridge/config.h"

#include <algorithm>

namespace tarragonbridge {

void target_health::onDone() { *this = {}; }

bool target_health::onFailed(std::string_view JobKey) {
  const bool IsProbing = AsideTime != milliseconds::zero();
  if (JobKey != LastJob) {
    LastJob = JobKey;
    ++FailedJobs;
  }
  return IsProbing || FailedJobs >= config::FailuresUntilAside;
}

boot_time target_health::setAside(boot_time Now) {
  AsideTime =
      std::clamp(2 * AsideTime, config::MinAsideTime, config::MaxAsideTime);
  AsideUntil = Now + AsideTime;
  return AsideUntil;
}

health_state target_health::state(boot_time Now) const {
  if (AsideTime == milliseconds::zero()) {
    return health_state::Well;
  }
  return Now < AsideUntil ? health_state::Aside : health_state::Probing;
}

} // namespace tarragonbridge
