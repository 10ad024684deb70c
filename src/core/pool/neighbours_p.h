/// Overlay network: hosts that advertise their free capacity to each other
/// often.
///
/// With many hosts, each can't advertise its free capacity to all others so
/// often that it is still valid when it is used, and all would choose the same
/// host. So each host sends its state often to a few neighbours, and to other
/// hosts at longer intervals.
#pragma once

#include "core/pool/target_assignment_p.h"

#include <set>
#include <string>
#include <vector>

namespace tarragonbridge::pool {

/// Chooses the neighbours of a host: those next to it on a ring of its failure
/// domain, and one in each other domain.
///
/// @param[in] Hosts all live hosts, including the host itself
/// @remarks Hosts with the same list of hosts agree on who are neighbours
/// within a failure domain. With few hosts all are neighbours.
std::set<std::string> neighboursOf(const host_location &Self,
                                   const std::vector<host_location> &Hosts);

} // namespace tarragonbridge::pool
