/// Predicted waits in an owner's queue, by level of urgency.
#pragma once

#include "core/pool/load/start_shares_p.h"
#include "core/pool/queued_task_p.h"

#include <vector>

namespace tarragonbridge::pool {

/// Waits of a task that is queued now.
struct predicted_waits {
  milliseconds AtEnd{}; ///< behind all that is queued
  /// Behind what runs and what is queued of the same or a higher urgency; as
  /// much longer as more urgent work is expected to overtake meanwhile.
  queue_waits ByLevel{};
};

/// What the queue of an owner waits for.
struct queue_service {
  std::vector<milliseconds> RunningEndsIn; ///< one for each busy slot
  std::uint32_t Slots = 1;                 ///< at least one
  double MeanSpeed = 1;
  double FastestSpeed = 1;
};

/// Passes once over the queue, which is sorted by level.
predicted_waits predictWaits(queue_service Service,
                             const std::vector<queued_task> &Queue,
                             const start_shares &Shares, boot_time Now);

} // namespace tarragonbridge::pool
