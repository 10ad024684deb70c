/// Readings of the machine's clocks.
#pragma once

#include "tarragonbridge/time.h"

namespace tarragonbridge {

/// @returns CLOCK_BOOTTIME
boot_time bootNow();
/// @returns the time since the Unix epoch
wall_time wallNow();
/// @returns both readings
instant instantNow();

} // namespace tarragonbridge
