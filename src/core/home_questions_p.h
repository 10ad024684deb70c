/// Questions to the homes of keys, for callers of this host.
#pragma once

#include "core/state_p.h"

namespace tarragonbridge {

/// @returns the caller of a submission
remote_caller submitter(const job_submitted &Event);

/// Asks for the right to start a submission, or, when it is refused here, who
/// holds it. The caller is answered in the end.
void claimSubmission(dispatcher_state &State, const host_identity &Home,
                     const job_submitted &Event, instant Now, effects &Effects);

/// Asks who holds a key, to query or cancel its job there.
void findHolder(dispatcher_state &State, const host_identity &Home,
                const std::string &Key, const remote_caller &Caller,
                effects &Effects);

/// Gives up this host's grants of a key, if it can prove that none was or will
/// be used.
void releaseKey(dispatcher_state &State, const std::string &Key,
                effects &Effects);

void onClaimsAnswered(dispatcher_state &State, const claims_answered &Event,
                      instant Now, effects &Effects);

} // namespace tarragonbridge
