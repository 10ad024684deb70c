/// Queues of tasks by team, and their dispatch to targets.
#pragma once

#include "core/state_p.h"

namespace tarragonbridge {

/// Queues all tasks of a new job.
void enqueueJob(dispatcher_state &State, job_record &Job, instant Now);

/// Queues a task again.
void enqueueTask(dispatcher_state &State, const job_record &Job,
                 std::uint32_t Task);

/// Starts queued tasks while targets have room and limits allow.
void dispatchQueued(dispatcher_state &State, instant Now, effects &Effects);

/// Frees what an attempt that has ended held of its team's limits.
void releaseCharge(dispatcher_state &State, const attempt_record &Attempt,
                   instant Now);

} // namespace tarragonbridge
