/// System clocks.
#pragma once

#include "tarragonbridge/time.h"

namespace tarragonbridge {

/// @returns the time since boot, including suspend (CLOCK_BOOTTIME)
boot_time bootNow();
/// @returns the system clock's time since the Unix epoch
wall_time wallNow();
/// @returns the current time on both clocks
instant instantNow();

} // namespace tarragonbridge
