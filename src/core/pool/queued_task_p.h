/// A task as the owner of targets keeps it.
#pragma once

#include "tarragonbridge/pool/peer_messages.h"

#include <memory>

namespace tarragonbridge::pool {

/// @returns the time between, negative when the first comes before the second
inline milliseconds until(boot_time Then, boot_time From) {
  return std::chrono::duration_cast<milliseconds>(Then - From);
}

/// A task that was accepted from its coordinator.
struct queued_task {
  attempt_ref Attempt;
  host_ref Coordinator;
  std::string Service;
  int Priority = 0;
  resource_vector RequiredResources;
  milliseconds ExpectedRunTime{}; ///< run time at speed 1
  boot_time QueuedAt;             ///< accepted by this owner
  boot_time ObjectiveDeadline;    ///< the end of the latency objective
  boot_time ExpiresAt;            ///< not started after that
  std::string AvoidTarget;        ///< where an earlier attempt failed
  std::shared_ptr<const std::string> Specification; ///< null: handed over
  bool MayQueue = true; ///< false: refused if it would be late here
};

} // namespace tarragonbridge::pool
