#include "core/pool/load/recent_refusals_p.h"

namespace tarragonbridge::pool {

void recent_refusals::record(const room_demand &Refused, milliseconds Wait,
                             boot_time Now) {
  refusal &Refusal = Refusals.at(Refused.Level);
  // A small job tells of more later ones than a large one.
  if (!isRecent(Refusal, Now) || Refused.Tasks <= Refusal.Tasks) {
    Refusal = {Now, Refused.Tasks, Wait};
  }
}

std::optional<milliseconds> recent_refusals::findWait(const room_demand &Demand,
                                                      boot_time Now) const {
  for (std::size_t Level = 0; Level <= Demand.Level; ++Level) {
    const refusal &Refusal = Refusals.at(Level);
    if (isRecent(Refusal, Now) && Refusal.Tasks <= Demand.Tasks &&
        Refusal.Wait > Demand.Slack) {
      return Refusal.Wait;
    }
  }
  return std::nullopt;
}

} // namespace tarragonbridge::pool
