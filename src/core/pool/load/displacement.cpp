#include "core/pool/load/displacement_p.h"

#include "core/pool/load/turn_away_cost_p.h"

namespace tarragonbridge::pool {

std::optional<std::size_t> findDisplaced(const std::vector<queued_task> &Queue,
                                         const queued_task &Task,
                                         double FastestSpeed, boot_time Now) {
  std::optional<std::size_t> Displaced;
  turn_away_cost Least = turnAwayCost(Task, FastestSpeed, Now);
  for (std::size_t Index = 0; Index < Queue.size(); ++Index) {
    const turn_away_cost Cost = turnAwayCost(Queue[Index], FastestSpeed, Now);
    if (Cost < Least) {
      Least = Cost;
      Displaced = Index;
    }
  }
  return Displaced;
}

} // namespace tarragonbridge::pool
