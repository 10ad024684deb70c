/// Further attempts: budgets, bounds and back-off.
#pragma once

#include "core/state_p.h"

namespace tarragonbridge {

/// Fills the retry budgets of the team and the target with a first attempt.
void earnRetries(dispatcher_state &State, const job_record &Job,
                 const task_record &Task, target_record &Target);

/// Takes one retry from the team's budget.
///
/// @returns false when the task's attempts or the budget are used up
bool takeRetry(dispatcher_state &State, const job_record &Job,
               const task_record &Task);

/// Queues a task again after a back-off.
void retryLater(dispatcher_state &State, job_record &Job, std::uint32_t Index,
                instant Now);

/// Queues a task again that was proved not run; only repeated refusals wait.
void requeueNotRun(dispatcher_state &State, job_record &Job,
                   std::uint32_t Index, instant Now);

/// Backs off from a target that refused a task.
void noteRefusal(dispatcher_state &State, target_record &Target, reason Reason,
                 instant Now);

} // namespace tarragonbridge
