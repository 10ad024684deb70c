/// Checks of a submission against targets, limits, queues and its deadline.
#pragma once

#include "core/state_p.h"

namespace tarragonbridge {

/// Notes what the listed targets can hold.
void refreshCapacity(dispatcher_state &State);

/// @returns why the job can't be queued, or nothing when it can
std::optional<reason> checkCapacity(const dispatcher_state &State,
                                    const job_request &Job, instant Now);

} // namespace tarragonbridge
