/// Queues of tasks by team, and their dispatch to targets.
#pragma once

#include "core/state_p.h"

namespace tarragonbridge {

/// Takes over urgencies, bounds and limits of teams from the settings.
void configureTeams(dispatcher_state &State);

void enqueueJob(dispatcher_state &State, const job_record &Job, instant Now);
void enqueueTask(dispatcher_state &State, const job_record &Job,
                 std::uint32_t Task, instant Now);

/// Starts queued tasks while targets have room and limits allow.
void dispatchQueued(dispatcher_state &State, instant Now, effects &Effects);

/// Frees what an attempt that has ended held of its team's limits.
void releaseCharge(dispatcher_state &State, const attempt_id &Id, instant Now);

} // namespace tarragonbridge
