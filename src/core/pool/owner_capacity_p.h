/// Free capacity of the owned targets, current and predicted.
#pragma once

#include "core/pool/state_p.h"

namespace tarragonbridge::pool {

/// @returns the measured speed of a target, or the mean of its kind
double speedOf(const pool_state &State, std::string_view Target);
/// @returns the mean speed of the targets that get new attempts
double meanSpeed(const pool_state &State, boot_time Now);
/// @returns the speed of the fastest target that gets new attempts
double fastestSpeed(const pool_state &State, boot_time Now);
/// @returns the predicted wait of a task at the end of the queue, nothing while
/// no target gets new attempts
std::optional<milliseconds> predictQueueWait(const pool_state &State,
                                             boot_time Now);
/// @returns a view with this host as the only owner
pool_view ownCapacity(const pool_state &State, boot_time Now);
/// @returns when the resources of each attempt are expected to be free
std::vector<busy_target> busyTargets(const pool_state &State, boot_time Now);

} // namespace tarragonbridge::pool
