/// Setting aside of targets that fail everything they start.
#pragma once

#include "core/state_p.h"

namespace tarragonbridge {

/// Takes note of how an attempt ended that nobody asked to stop.
///
/// @remarks At most a part of the targets of a failure domain is set aside
/// (config::MaxAsidePart); the others go on being used whatever they do.
void noteAttemptEnd(dispatcher_state &State, target_record &Target,
                    const std::string &JobKey, attempt_input Input,
                    instant Now);

} // namespace tarragonbridge
