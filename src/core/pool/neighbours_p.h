/// Which hosts tell each other of their room all the time.
///
/// With many hosts each one's room can't be told to all often enough to be
/// still true when it is used, and all would choose the same one. So each host
/// has a few neighbours that it tells often, and tells the others from time to
/// time.
#pragma once

#include "core/pool/target_assignment_p.h"

#include <set>
#include <string>
#include <vector>

namespace tarragonbridge::pool {

/// Chooses the neighbours of a host: those next to it on a ring of its failure
/// domain, and one in each other domain.
///
/// @param[in] Hosts all that live, the host itself among them
/// @remarks Hosts that see the same hosts agree on who are neighbours in one
/// failure domain. With few hosts all are neighbours.
std::set<std::string> neighboursOf(const host_location &Self,
                                   const std::vector<host_location> &Hosts);

} // namespace tarragonbridge::pool
