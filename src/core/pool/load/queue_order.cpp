#include "core/pool/load/queue_order_p.h"

#include <algorithm>

namespace tarragonbridge::pool {

namespace {
/// @returns whether a task goes first, whatever the time
bool isMoreUrgent(const queued_task &A, const queued_task &B) {
  const auto Cost = [](const queued_task &Task) {
    return turnAwayCost(Task, config::MaxSpeed, boot_time::min());
  };
  return Cost(A) > Cost(B);
}

std::size_t levelOf(const queued_task &Task) {
  return urgencyLevelOf(Task.Priority);
}
} // namespace

void insertByUrgency(std::vector<queued_task> &Queue, queued_task Task) {
  const auto Position =
      std::upper_bound(Queue.begin(), Queue.end(), Task, isMoreUrgent);
  Queue.insert(Position, std::move(Task));
}

void sortByUrgency(std::vector<queued_task> &Queue) {
  std::stable_sort(Queue.begin(), Queue.end(), isMoreUrgent);
}

start_order orderForStarts(std::vector<queued_task> &Queue,
                           const start_shares &Shares, double FastestSpeed,
                           boot_time Now) {
  const auto LateBegin = std::stable_partition(
      Queue.begin(), Queue.end(), [&](const queued_task &Task) {
        return canBeInTime(Task, FastestSpeed, Now);
      });
  if (LateBegin == Queue.begin()) {
    return {};
  }
  start_order Order{levelOf(*std::prev(LateBegin)), std::nullopt};
  const auto Owed = Shares.owed(*Order.LeastUrgent);
  if (!Owed) {
    return Order;
  }
  const auto FirstAbove = [&](std::size_t Level) {
    return std::find_if(Queue.begin(), LateBegin, [&](const queued_task &Task) {
      return levelOf(Task) > Level;
    });
  };
  const auto Before =
      Owed->Upper == 0 ? Queue.begin() : FirstAbove(Owed->Upper - 1);
  const auto Favoured = FirstAbove(Owed->Lower);
  if (Before != Favoured) {
    Order.Favoured = Favoured->Attempt;
    std::rotate(Before, Favoured, std::next(Favoured));
  }
  return Order;
}

std::vector<queued_task> extractExpired(std::vector<queued_task> &Queue,
                                        boot_time Now) {
  const auto Expired = std::stable_partition(
      Queue.begin(), Queue.end(),
      [&](const queued_task &Task) { return Task.ExpiresAt > Now; });
  std::vector<queued_task> Extracted(std::make_move_iterator(Expired),
                                     std::make_move_iterator(Queue.end()));
  Queue.erase(Expired, Queue.end());
  return Extracted;
}

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
