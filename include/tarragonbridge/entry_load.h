/// Load of entry hosts, from which their shares are computed.
#pragma once

#include "tarragonbridge/shares.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace tarragonbridge {

/// What one host wants and uses of the limits of a team.
struct team_load {
  share_demand Tasks;
  share_demand Starts; ///< a second
  share_demand Cores;
  share_demand MemoryMb;
  share_demand Accelerators;

  bool operator==(const team_load &) const = default;
};

/// What one host tells of its load.
struct entry_load {
  std::uint64_t WantedSlots = 0; ///< tasks running and queued
  std::map<std::string, team_load, std::less<>> Teams; ///< those with limits

  bool operator==(const entry_load &) const = default;
};

/// An entry host as last heard.
struct entry_host {
  std::string Name;
  std::string FailureDomain;
  std::optional<entry_load> Load; ///< nothing: not heard lately
};

} // namespace tarragonbridge
