/// Jobs that have ended: their answers, kept for resubmissions.
#pragma once

#include "core/state_p.h"

namespace tarragonbridge {

/// Moves the jobs that ended during this event to the answers that are kept.
///
/// @remarks Ends the life of their records, so it runs after all else of an
/// event.
void retireEndedJobs(dispatcher_state &State, instant Now);

/// @returns the digest of the submission that this host runs or has run under a
/// key, nothing when it has no record of the key
std::optional<std::uint64_t> findDigest(const dispatcher_state &State,
                                        const std::string &Key);

/// Answers from what is kept of an ended job.
///
/// @returns whether anything is kept under the key
bool answerEnded(dispatcher_state &State, const std::string &Key,
                 request_handle Request, effects &Effects);

} // namespace tarragonbridge
