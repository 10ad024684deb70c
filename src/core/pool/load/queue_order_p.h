/// Order of an owner's queue: by the cost of turning a task away.
#pragma once

#include "core/pool/load/start_shares_p.h"
#include "core/pool/load/turn_away_cost_p.h"

#include <vector>

namespace tarragonbridge::pool {

/// Inserts a task into a queue that is sorted by level, latest start and work.
void insertByUrgency(std::vector<queued_task> &Queue, queued_task Task);

/// Sorts a queue by level, latest start and work.
void sortByUrgency(std::vector<queued_task> &Queue);

/// What the order of starts followed from.
struct start_order {
  /// Level that waits and can be in time; nothing if none can.
  std::optional<std::size_t> LeastUrgent;
  /// Goes first by its share.
  std::optional<attempt_ref> Favoured;
};

/// Puts a sorted queue into the order of starts: tasks that can't be in time
/// any more go last, and a less urgent one that is owed its share goes before
/// the levels that have had theirs.
start_order orderForStarts(std::vector<queued_task> &Queue,
                           const start_shares &Shares, double FastestSpeed,
                           boot_time Now);

/// Removes the tasks whose outcome would have no use any more. @returns them
std::vector<queued_task> extractExpired(std::vector<queued_task> &Queue,
                                        boot_time Now);

/// @returns the task of a full queue that a new one displaces, as turning it
/// away costs least; nothing if that is the new one
std::optional<std::size_t> findDisplaced(const std::vector<queued_task> &Queue,
                                         const queued_task &Task,
                                         double FastestSpeed, boot_time Now);

} // namespace tarragonbridge::pool
