#include "core/pool/dealing_p.h"

#include <algorithm>
#include <xxhash.h>

namespace tarragonbridge::pool {

namespace {
std::uint64_t score(const std::string &Target, const std::string &Host) {
  return XXH3_64bits_withSeed(Target.data(), Target.size(),
                              XXH3_64bits(Host.data(), Host.size()));
}

/// Gives each target to the host with the highest score that is not full.
void dealDomain(const std::vector<std::string> &Targets,
                const std::vector<std::string> &Hosts,
                std::map<std::string, std::string> &Owners) {
  const std::size_t Most = (Targets.size() + Hosts.size() - 1) / Hosts.size();
  std::map<std::string, std::size_t> Counts;
  for (const std::string &Target : Targets) {
    const std::string *Best = nullptr;
    for (const std::string &Host : Hosts) {
      if (Counts[Host] < Most &&
          (Best == nullptr || score(Target, Host) > score(Target, *Best))) {
        Best = &Host;
      }
    }
    ++Counts[*Best];
    Owners.emplace(Target, *Best);
  }
}
} // namespace

std::map<std::string, std::string>
dealTargets(const std::map<std::string, std::string> &Targets,
            const std::vector<dealt_host> &Hosts) {
  std::map<std::string, std::string> Owners;
  if (Hosts.empty()) {
    return Owners;
  }
  std::map<std::string, std::vector<std::string>> HostsOf;
  std::vector<std::string> AllHosts;
  for (const dealt_host &Host : Hosts) {
    HostsOf[Host.FailureDomain].push_back(Host.Name);
    AllHosts.push_back(Host.Name);
  }
  std::map<std::string, std::vector<std::string>> TargetsOf;
  for (const auto &[Target, FailureDomain] : Targets) {
    TargetsOf[FailureDomain].push_back(Target);
  }
  for (const auto &[FailureDomain, Ids] : TargetsOf) {
    const auto Found = HostsOf.find(FailureDomain);
    dealDomain(Ids, Found == HostsOf.end() ? AllHosts : Found->second, Owners);
  }
  return Owners;
}

} // namespace tarragonbridge::pool
