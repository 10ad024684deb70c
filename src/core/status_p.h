/// The status of a host, as shown to operators.
#pragma once

#include "core/state_p.h"

namespace tarragonbridge {

/// Answers GET /v1/status.
void onStatusRequested(dispatcher_state &State, const status_requested &Event,
                       instant Now, effects &Effects);

} // namespace tarragonbridge
