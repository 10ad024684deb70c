/// Entry hosts as members of one dispatcher: identities and heartbeats.
#pragma once

#include "tarragonbridge/job.h"
#include "tarragonbridge/target.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge {

/// One process of an entry host: its failure domain, host and incarnation.
using host_identity = session_home;

/// @returns the identity as one text: <failure_domain>.<host>.<incarnation>
std::string formatIdentity(const host_identity &Identity);

/// @returns the identity, nothing if the text has another form
std::optional<host_identity> parseIdentity(std::string_view Text);

/// What a host tells about itself.
struct heartbeat {
  std::uint64_t ViewVersion = 0;
  std::int64_t SettingsRevision = 0;
  std::uint64_t QueuedTasks = 0;
  std::uint64_t RunningTasks = 0;
  bool Leaving = false;

  bool operator==(const heartbeat &) const = default;
};

/// Another entry host, as listed and as heard.
struct member {
  host_entry Host;
  bool Listed = true;            ///< in the latest host list
  std::uint64_t Incarnation = 0; ///< latest heard, 0: never heard
  boot_time LastHeard;
  boot_time UnlistedAt;
  heartbeat Beat;
};

struct dispatcher_state;

/// @returns all other entry hosts that are listed or were listed within the
/// retention period, by name
std::vector<member> members(const dispatcher_state &State);

} // namespace tarragonbridge
