/// Placement: the target of each attempt.
#pragma once

#include "core/state_p.h"

namespace tarragonbridge {

/// Chooses the target of the next attempt at a queued task.
///
/// @param[in,out] State the dispatcher
/// @param[in] Job job of the task
/// @param[in] Task task to start
/// @param[in] Now clock readings for this event
/// @returns the target, or nullptr when the task is to wait: no target has
/// room, or one that is about to have room ends it sooner
target_record *chooseTarget(dispatcher_state &State, const job_record &Job,
                            const task_record &Task, instant Now);

} // namespace tarragonbridge
