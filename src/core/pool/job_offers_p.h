/// Offers of a job's tasks to the owners of targets.
#pragma once

#include "core/pool/state_p.h"

namespace tarragonbridge::pool {

/// Offers of one job's tasks, by the owner's host name.
using offers_by_owner = std::map<std::string, task_offer>;

/// @returns all reachable owners, including this host, and their free capacity
/// less the reservations
/// @param[in] Level of urgency that the waits are for
pool_view makePoolView(pool_state &State, std::size_t Level, boot_time Now);

/// @returns saturationOf() the reachable owners
double currentSaturation(const pool_state &State, boot_time Now);

/// @returns the current process of a peer; of this host if it has no peer of
/// that name
host_ref hostRefOf(const pool_state &State, const std::string &Name);

attempt_ref attemptRefOf(const open_job &Job, const job_task &Task);

/// @returns the expected run time of a task at speed 1
milliseconds expectedRunTimeOf(const pool_state &State, const open_job &Job,
                               const job_task &Task);

/// Adds a placed task to the offer to its owner, with a new attempt number.
void addToOffer(reducer_context &Ctx, open_job &Job, job_task &Task,
                const pool_view &View, const placement &Placement,
                offers_by_owner &Offers);

void sendOffers(reducer_context &Ctx, offers_by_owner &&Offers);

} // namespace tarragonbridge::pool
