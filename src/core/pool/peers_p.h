/// The peers of a host, as far as their datagrams concern them.
#pragma once

#include "core/pool/state_p.h"

namespace tarragonbridge::pool {

/// Begins anew with a host that is new, or that runs as another process.
peer_host &resetPeer(reducer_context &Ctx, const member_record &Member);

/// Makes room for a peer that no list of hosts has shown. The one that came
/// first of those that have confirmed nothing yet goes.
/// @returns whether there is room
bool makeRoomForStranger(reducer_context &Ctx);

/// Ends the sessions with peers that are silent, and evicts those of them that
/// aren't registered.
void evictSilentPeers(reducer_context &Ctx);

/// @returns whether there are so few hosts that each is a neighbour of all
bool areAllNeighbours(const pool_state &State);

/// @returns whether a process of a host is an earlier one than the process that
/// is known, which is alive. Numbers of processes alone don't tell: they are
/// times of day, and clocks are set back.
bool isSuperseded(const peer_host &Peer, std::uint64_t Incarnation,
                  boot_time Now);

} // namespace tarragonbridge::pool
