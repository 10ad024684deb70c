/// Assignment of targets to the hosts that should own them, computed by each
/// host independently.
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

/// Assigns targets in equal numbers to the hosts of their failure domain, or to
/// all hosts if the domain has none.
///
/// @param[in] Targets failure domain by target id
/// @returns owner by target; the same on all hosts with the same view, and with
/// few changes when a host joins or leaves
std::map<std::string, std::string>
assignTargets(const std::map<std::string, std::string> &Targets,
              const std::vector<host_location> &Hosts);

} // namespace tarragonbridge::pool
