#include "core/pool/neighbours_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>
#include <map>
#include <xxhash.h>

namespace tarragonbridge::pool {

namespace {
/// Hosts of one failure domain, ordered by the hashes of their names; the last
/// is followed by the first.
using ring = std::vector<std::pair<std::uint64_t, std::string>>;

std::map<std::string, ring> makeRings(const std::vector<host_location> &Hosts) {
  std::map<std::string, ring> Rings;
  for (const host_location &Host : Hosts) {
    Rings[Host.FailureDomain].emplace_back(
        XXH3_64bits(Host.Name.data(), Host.Name.size()), Host.Name);
  }
  for (auto &[FailureDomain, Ring] : Rings) {
    std::sort(Ring.begin(), Ring.end());
  }
  return Rings;
}

std::size_t positionOf(const ring &Ring, const std::string &Name) {
  const auto Found =
      std::find_if(Ring.begin(), Ring.end(),
                   [&](const auto &Entry) { return Entry.second == Name; });
  return static_cast<std::size_t>(Found - Ring.begin());
}
} // namespace

std::set<std::string> neighboursOf(const host_location &Self,
                                   const std::vector<host_location> &Hosts) {
  std::set<std::string> Neighbours;
  if (Hosts.size() <= config::MaxFullMeshHosts) {
    for (const host_location &Host : Hosts) {
      Neighbours.insert(Host.Name);
    }
    Neighbours.erase(Self.Name);
    return Neighbours;
  }
  const std::map<std::string, ring> Rings = makeRings(Hosts);
  const ring &Own = Rings.at(Self.FailureDomain);
  const std::size_t Position = positionOf(Own, Self.Name);
  for (std::size_t Distance = 1; Distance <= config::RingNeighboursPerSide;
       ++Distance) {
    const std::size_t Offset = Distance % Own.size();
    Neighbours.insert(Own[(Position + Offset) % Own.size()].second);
    Neighbours.insert(
        Own[(Position + Own.size() - Offset) % Own.size()].second);
  }
  for (const auto &[FailureDomain, Ring] : Rings) {
    if (FailureDomain != Self.FailureDomain) {
      Neighbours.insert(Ring[Position * Ring.size() / Own.size()].second);
    }
  }
  Neighbours.erase(Self.Name);
  return Neighbours;
}

} // namespace tarragonbridge::pool
