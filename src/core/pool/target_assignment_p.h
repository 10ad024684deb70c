/// Which entry host should own which target, computed by each host alone.
#pragma once

#include "tarragonbridge/pool/types.h"

#include <map>
#include <string>
#include <vector>

namespace tarragonbridge::pool {

/// A host that may own targets.
struct host_location {
  std::string Name;
  std::string FailureDomain;

  bool operator==(const host_location &) const = default;
};

/// Deals targets to the hosts of their failure domain in equal parts, or to all
/// hosts where the domain has none.
///
/// @param[in] Targets id and failure domain
/// @returns owner by target; the same for all hosts that see the same, and
/// nearly the same when one host comes or goes
std::map<std::string, std::string>
assignTargets(const std::map<std::string, std::string> &Targets,
              const std::vector<host_location> &Hosts);

} // namespace tarragonbridge::pool
