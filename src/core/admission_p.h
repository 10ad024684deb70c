/// Admission: what is refused before anything of a submission starts.
#pragma once

#include "core/answers_p.h"

namespace tarragonbridge {

/// Checks a submission whose key has no record here.
///
/// @returns the refusal, or nothing when the job is to be run
/// @remarks The refusal's proof of not run holds only once the key's home has
/// told that no other host holds it.
std::optional<refusal> checkAdmission(const dispatcher_state &State,
                                      const job_request &Job, instant Now);

/// The same for a submission as it came: one without room is refused, too.
std::optional<refusal> checkSubmission(const dispatcher_state &State,
                                       const job_submitted &Event, instant Now);

} // namespace tarragonbridge
