/// Pauses of this process: a virtual machine that is suspended, a stopped
/// process. What was known before one may have changed without a trace when it
/// ends.
#pragma once

#include "core/pool/state_p.h"

namespace tarragonbridge::pool {

/// Notes that an event is handled. If a pause precedes it, limits what is done
/// by what was known before.
/// @returns whether a pause precedes it
bool notePause(reducer_context &Ctx);

/// @returns whether departures of callers during a pause may still be unread
bool isCheckingCallers(const pool_state &State, boot_time Now);

/// @returns whether live peers may not have been heard yet since a pause
bool isCheckingPeers(const pool_state &State, boot_time Now);

/// @returns whether what the store told at a time may be out of date: this host
/// was paused since, and may not have read the store's lists again
bool isListUnread(const pool_state &State, boot_time ReadAt, boot_time Now);

/// @returns the latest time up to which the departures of callers are known
boot_time callersKnownAt(const pool_state &State, boot_time Now);

} // namespace tarragonbridge::pool
