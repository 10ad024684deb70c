/// The daemon's own configuration file.
#pragma once

#include "tarragonbridge/config.h"
#include "tarragonbridge/error.h"
#include "tarragonbridge/placement.h"

#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge {

struct daemon_config {
  std::string Host;
  std::string FailureDomain;
  std::string Listen;     ///< callers and operators
  std::string PeerListen; ///< other entry hosts
  std::vector<std::string> Store;
  std::uint32_t MemoryMb = config::DefaultMemoryMb; ///< of the process
  /// Of the process; 0: as many as the process may open at its start.
  std::uint32_t FileDescriptors = 0;
  placement_kind Placement =
      placement_kind::Expected; ///< option, not in the file
};

/// Parses the file's text: JSON with comments.
///
/// @param[in] Text content of the file
/// @param[in] File name, told in errors
/// @returns the configuration, or all faults in one error
result<daemon_config> parseDaemonConfig(std::string_view Text,
                                        std::string_view File);

/// Reads and parses the file.
result<daemon_config> loadDaemonConfig(const std::string &File);

} // namespace tarragonbridge
