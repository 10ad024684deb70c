/// Requests of callers that wait for the end of a running job.
#pragma once

#include "core/state_p.h"

namespace tarragonbridge {

/// Lets a request wait, which asks for a job that was submitted before. If
/// there are too many of them, the one that has waited longest is told that its
/// job runs.
void addWaiter(dispatcher_state &State, job_record &Job, waiter Waiter,
               effects &Effects);

/// Answers all requests that wait for a job, which has ended.
void answerWaiters(job_record &Job, effects &Effects);

/// Answers the requests whose waits are over.
void onWaitOver(dispatcher_state &State, const std::string &Key, instant Now,
                effects &Effects);

} // namespace tarragonbridge
