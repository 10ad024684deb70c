/// Termination signals: SIGTERM and SIGINT.
#pragma once

namespace tarragonbridge {

/// Blocks SIGTERM and SIGINT in this thread and in those it starts later, and
/// ignores SIGPIPE.
void blockTerminationSignals();

/// Waits for SIGTERM or SIGINT.
///
/// @returns the signal's number
int waitForTerminationSignal();

} // namespace tarragonbridge
