/// This host's shares of targets and team limits.
#pragma once

#include "core/state_p.h"

namespace tarragonbridge {

/// Notes the load that this host tells in a heartbeat.
///
/// @remarks Own shares follow from the load told last, so that all hosts
/// compute from the same figures.
void tellLoad(dispatcher_state &State);

/// Takes over what is known of the other entry hosts.
///
/// @param[in] Others members of all failure domains without this host; those
/// that are leaving are left out. Their loads are those of their heartbeats.
void setEntryHosts(dispatcher_state &State, std::vector<entry_host> Others,
                   instant Now);

/// Computes the shares anew.
void refreshShares(dispatcher_state &State, instant Now);

/// Computes the shares anew and does so again when the turn changes.
void onShareTimer(dispatcher_state &State, instant Now);

/// Has shares computed at each turn while there are other entry hosts.
void startShareTimer(dispatcher_state &State, instant Now);

} // namespace tarragonbridge
