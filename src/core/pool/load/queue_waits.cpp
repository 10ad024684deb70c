#include "core/pool/load/queue_waits_p.h"

#include "core/pool/load/turn_away_cost_p.h"
#include "core/pool/placement_p.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace tarragonbridge::pool {

namespace {
/// Slots by the time at which each is free, the soonest on top.
class slot_heap {
public:
  slot_heap(std::vector<milliseconds> FreeIn, std::size_t Slots)
      : FreeIn(std::move(FreeIn)) {
    this->FreeIn.resize(Slots, milliseconds(0));
    std::make_heap(this->FreeIn.begin(), this->FreeIn.end(), std::greater<>());
  }
  milliseconds soonest() const { return FreeIn.front(); }
  void occupySoonest(milliseconds Time) {
    std::pop_heap(FreeIn.begin(), FreeIn.end(), std::greater<>());
    FreeIn.back() += Time;
    std::push_heap(FreeIn.begin(), FreeIn.end(), std::greater<>());
  }

private:
  std::vector<milliseconds> FreeIn;
};

milliseconds prolonged(milliseconds Wait, double FractionLeft) {
  return milliseconds(
      std::llround(static_cast<double>(Wait.count()) / FractionLeft));
}
} // namespace

predicted_waits predictWaits(queue_service Service,
                             const std::vector<queued_task> &Queue,
                             const start_shares &Shares, boot_time Now) {
  // Each queued task takes one free slot; one more shows that there is no wait.
  const std::size_t RelevantSlots = std::min<std::size_t>(
      Service.Slots, Service.RunningEndsIn.size() + Queue.size() + 1);
  slot_heap Slots(std::move(Service.RunningEndsIn), RelevantSlots);
  predicted_waits Waits;
  std::size_t Level = 0;
  std::vector<milliseconds> LateRunTimes; // they go last
  for (const queued_task &Task : Queue) {
    const milliseconds RunTime =
        runTime(Task.ExpectedRunTime, Service.MeanSpeed);
    if (!canBeInTime(Task, Service.FastestSpeed, Now)) {
      LateRunTimes.push_back(RunTime);
      continue;
    }
    for (; Level < urgencyLevelOf(Task.Priority); ++Level) {
      Waits.ByLevel.at(Level) = Slots.soonest();
    }
    Slots.occupySoonest(RunTime);
  }
  const std::size_t LeastUrgent = Level;
  for (; Level < Waits.ByLevel.size(); ++Level) {
    Waits.ByLevel.at(Level) = Slots.soonest();
  }
  for (std::size_t Each = 0; Each < Waits.ByLevel.size(); ++Each) {
    milliseconds &Wait = Waits.ByLevel.at(Each);
    Wait = prolonged(Wait, Shares.fractionLeft(Each, Each < LeastUrgent,
                                               Service.Slots, Now));
  }
  for (const milliseconds RunTime : LateRunTimes) {
    Slots.occupySoonest(RunTime);
  }
  Waits.AtEnd = Slots.soonest();
  return Waits;
}

} // namespace tarragonbridge::pool
