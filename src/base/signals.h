/// Waiting for the signals that ask a process to end.
#pragma once

namespace tarragonbridge {

/// Blocks SIGTERM and SIGINT in this and all later threads, ignores SIGPIPE.
void blockEndSignals();

/// Waits for SIGTERM or SIGINT. @returns the signal
int waitForEndSignal();

} // namespace tarragonbridge
