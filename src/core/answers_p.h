/// Bodies of answers and refusals to callers.
#pragma once

#include "core/state_p.h"

namespace tarragonbridge {

/// Why a request was refused.
struct refusal {
  std::string Key;
  reason Reason = reason::Malformed;
  bool NotRun = false; ///< proved for the whole submission
  std::string Step;
  std::string Peer;
  std::string Message;
};

/// @returns the answer to a refused request; the reason is counted
answer_request answerRefusal(dispatcher_state &State, request_handle Request,
                             const refusal &Refusal);

/// @returns the answer that tells how a job stands
answer_request answerJob(const job_record &Job, request_handle Request);

/// @returns the answer to an asynchronous submission
answer_request answerAccepted(const job_record &Job, request_handle Request);

} // namespace tarragonbridge
