/// Queues of tasks by team, and their dispatch to targets.
#pragma once

#include "core/state_p.h"

namespace tarragonbridge {

void enqueueJob(dispatcher_state &State, const job_record &Job);
void enqueueTask(dispatcher_state &State, const job_record &Job,
                 std::uint32_t Task);

/// Starts queued tasks while targets have room.
void dispatchQueued(dispatcher_state &State, instant Now, effects &Effects);

} // namespace tarragonbridge
