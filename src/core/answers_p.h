/// Bodies of answers and refusals to callers.
#pragma once

#include "core/refusal_p.h"
#include "core/state_p.h"

namespace tarragonbridge {

/// @returns the answer to a refused request; the reason is counted
answer_request answerRefusal(dispatcher_state &State, request_handle Request,
                             const refusal &Refusal);

/// @returns the answer that tells how a job stands
answer_request answerJob(const job_record &Job, request_handle Request);

/// @returns the failed answer with unknown outcome to a submission whose host
/// ended; the reason is counted
answer_request answerLost(dispatcher_state &State, request_handle Request,
                          const std::string &Key, reason Reason,
                          const std::string &Peer);

/// @returns the answer to an asynchronous submission
answer_request answerAccepted(const job_record &Job, request_handle Request);

} // namespace tarragonbridge
