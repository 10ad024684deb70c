/// What room the own targets have, now and soon.
#pragma once

#include "core/pool/state_p.h"

namespace tarragonbridge::pool {

/// @returns the speed learnt at a target, or the mean of its kind
double speedOf(const pool_state &State, std::string_view Target);
/// @returns the mean speed of the targets that get work
double meanSpeed(const pool_state &State, boot_time Now);
/// @returns the predicted wait of a task that joins the queue's end, nothing
/// while no target gets work
std::optional<milliseconds> predictWait(const pool_state &State, boot_time Now);
/// @returns the own room, as the only owner in a view
pool_view ownCapacity(const pool_state &State, boot_time Now);
/// @returns when each attempt's room is expected to be free
std::vector<busy_target> busyTargets(const pool_state &State, boot_time Now);

} // namespace tarragonbridge::pool
