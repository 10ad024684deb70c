/// Load of entry hosts, from which their shares of slots are computed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace tarragonbridge {

/// What one host tells of its load.
struct entry_load {
  std::uint64_t WantedSlots = 0; ///< tasks running and queued
};

/// An entry host as last heard.
struct entry_host {
  std::string Name;
  std::string FailureDomain;
  std::optional<entry_load> Load; ///< nothing: not heard lately
};

} // namespace tarragonbridge
