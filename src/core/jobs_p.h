/// Submissions: admission, answers, queries, cancellation and retention.
#pragma once

#include "core/state_p.h"

namespace tarragonbridge {

void onSessionRequested(dispatcher_state &State, const session_requested &Event,
                        effects &Effects);
void onJobSubmitted(dispatcher_state &State, const job_submitted &Event,
                    instant Now, effects &Effects);
void onJobQueried(dispatcher_state &State, const job_queried &Event,
                  instant Now, effects &Effects);
void onJobCancelled(dispatcher_state &State, const job_cancelled &Event,
                    instant Now, effects &Effects);

/// Keeps a record of a submission that this host may start.
job_record &startJob(dispatcher_state &State, const job_request &Request,
                     instant Now);

/// Answers a submitter, or holds its request until the job ends.
void answerOrHold(job_record &Job, request_handle Request, bool Async,
                  effects &Effects);

/// Ends a job as failed: stops its attempts and answers its waiters.
void failJob(dispatcher_state &State, job_record &Job, job_failure Failure,
             instant Now, effects &Effects);

/// Ends a job whose tasks have all given their output.
void completeJob(dispatcher_state &State, job_record &Job, instant Now,
                 effects &Effects);

void onDeadline(dispatcher_state &State, const std::string &Key, instant Now,
                effects &Effects);

} // namespace tarragonbridge
