#include "core/pool/target_assignment_p.h"

#include <algorithm>
#include <xxhash.h>

namespace tarragonbridge::pool {

namespace {
std::uint64_t hashOf(const std::string &Name, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Name.data(), Name.size(), Seed);
}

/// Assigns each target to the host with the highest hash score among those
/// below their quota (rendezvous hashing).
void assignWithinDomain(const std::vector<std::string> &Targets,
                        const std::vector<std::string> &Hosts,
                        std::map<std::string, std::string> &Owners) {
  struct candidate {
    const std::string *Name;
    std::uint64_t Hash;
    std::size_t RemainingQuota;
  };
  const std::size_t Quota = (Targets.size() + Hosts.size() - 1) / Hosts.size();
  std::vector<candidate> Candidates;
  Candidates.reserve(Hosts.size());
  for (const std::string &Host : Hosts) {
    Candidates.push_back({&Host, hashOf(Host, 0), Quota});
  }
  for (const std::string &Target : Targets) {
    candidate *Best = nullptr;
    std::uint64_t BestScore = 0;
    for (candidate &Host : Candidates) {
      const std::uint64_t Score =
          Host.RemainingQuota > 0 ? hashOf(Target, Host.Hash) : 0;
      if (Host.RemainingQuota > 0 && (Best == nullptr || Score > BestScore)) {
        Best = &Host;
        BestScore = Score;
      }
    }
    --Best->RemainingQuota;
    Owners.emplace(Target, *Best->Name);
  }
}
} // namespace

std::map<std::string, std::string>
assignTargets(const std::map<std::string, std::string> &Targets,
              const std::vector<host_location> &Hosts) {
  std::map<std::string, std::string> Owners;
  if (Hosts.empty()) {
    return Owners;
  }
  std::map<std::string, std::vector<std::string>> HostsOf;
  std::vector<std::string> AllHosts;
  for (const host_location &Host : Hosts) {
    HostsOf[Host.FailureDomain].push_back(Host.Name);
    AllHosts.push_back(Host.Name);
  }
  std::map<std::string, std::vector<std::string>> TargetsOf;
  for (const auto &[Target, FailureDomain] : Targets) {
    TargetsOf[FailureDomain].push_back(Target);
  }
  for (const auto &[FailureDomain, Ids] : TargetsOf) {
    const auto Found = HostsOf.find(FailureDomain);
    assignWithinDomain(Ids, Found == HostsOf.end() ? AllHosts : Found->second,
                       Owners);
  }
  return Owners;
}

} // namespace tarragonbridge::pool
