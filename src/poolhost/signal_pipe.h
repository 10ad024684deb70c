/// Signals as readable events of the loop.
#pragma once

#include <cstdint>
#include <vector>

namespace tarragonbridge::poolhost {

enum class signal_kind : std::uint8_t { End, Reload };

/// Catches SIGTERM, SIGINT and SIGHUP, ignores SIGPIPE.
void catchSignals();
/// @returns the descriptor that becomes readable on a signal
int signalDescriptor();
/// @returns the signals since the last call
std::vector<signal_kind> readSignals();

} // namespace tarragonbridge::poolhost
