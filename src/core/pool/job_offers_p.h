/// Offers of a job's tasks to the owners of targets.
#pragma once

#include "core/pool/state_p.h"

namespace tarragonbridge::pool {

/// Offers of one job, by owner.
using offers = std::map<std::string, task_offer>;

/// @returns all owners and their room, this host among them
pool_view makePoolView(pool_state &State, boot_time Now);

/// @returns the process of a host that is heard, or of this one
host_ref hostRef(const pool_state &State, const std::string &Name);

attempt_ref attemptRefOf(const open_job &Job, const job_task &Task);

/// @returns the run time that is expected of a task at speed 1
milliseconds expectedRunTimeOf(const pool_state &State, const open_job &Job,
                               const job_task &Task);

/// Adds a task that was placed to its owner's offer, under a new run.
void addToOffer(reducer_context &Ctx, open_job &Job, job_task &Task,
                const pool_view &View, const placement &Placing,
                offers &Offers);

void sendOffers(reducer_context &Ctx, offers &&Offers);

} // namespace tarragonbridge::pool
