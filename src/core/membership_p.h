/// Members and heartbeats.
#pragma once

#include "core/state_p.h"

namespace tarragonbridge {

/// Takes the entry hosts of the list.
void updateMembers(dispatcher_state &State, const hosts_listed &Event,
                   instant Now);

/// @returns the member that runs the host of an identity, nullptr if none is
/// known
const member *findMember(const dispatcher_state &State,
                         const host_identity &Identity);

/// Tells a few members how this host stands.
void onHeartbeatTimer(dispatcher_state &State, instant Now, effects &Effects);

/// Tells every member that this host is leaving.
void announceLeaving(dispatcher_state &State, effects &Effects);

void onHeartbeatReceived(dispatcher_state &State,
                         const heartbeat_received &Event, instant Now,
                         effects &Effects);
void onHeartbeatAnswered(dispatcher_state &State,
                         const heartbeat_answered &Event, instant Now);

} // namespace tarragonbridge
