/// Delivers signals to the event loop through a pipe.
#pragma once

#include <cstdint>
#include <vector>

namespace tarragonbridge::poolhost {

enum class signal_kind : std::uint8_t { Terminate, Reload };

/// Handles SIGTERM, SIGINT and SIGHUP, and ignores SIGPIPE.
void installSignalHandlers();
/// @returns the pipe's descriptor, which becomes readable on a signal
int signalDescriptor();
/// @returns the signals received since the last call
std::vector<signal_kind> readSignals();

} // namespace tarragonbridge::poolhost
