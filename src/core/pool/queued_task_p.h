/// A task that an owner of targets has queued or started.
#pragma once

#include "tarragonbridge/pool/peer_messages.h"

#include <memory>

namespace tarragonbridge::pool {

/// @returns the time from From until Then, negative if Then is earlier
inline milliseconds until(boot_time Then, boot_time From) {
  return std::chrono::duration_cast<milliseconds>(Then - From);
}

/// A task that this owner has accepted from its coordinator.
struct queued_task {
  attempt_ref Attempt;
  host_ref Coordinator;
  std::string Service;
  int Priority = 0;
  resource_vector RequiredResources;
  milliseconds ExpectedRunTime{}; ///< run time at speed 1
  boot_time QueuedAt;             ///< when this owner accepted it
  boot_time ObjectiveDeadline;    ///< the end of the latency objective
  boot_time ExpiresAt;            ///< not started after it
  std::string AvoidTarget;        ///< where an earlier attempt failed
  std::shared_ptr<const std::string> Specification; ///< null if handed over
  /// False: refused if predicted to miss its objective here.
  bool MayQueue = true;
  bool RunsAlone = false; ///< no other task joins it on its target
};

} // namespace tarragonbridge::pool
