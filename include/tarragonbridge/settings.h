/// Settings of the whole system and of its teams.
#pragma once

#include "tarragonbridge/error.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge {

/// Settings of one team's subtree.
struct team_settings {
  std::uint32_t MaxRunningTasks = 0; ///< 0: no limit
  std::uint32_t Urgency = 5;         ///< 0 to 9, higher goes first
};

/// All settings in force, at one revision of the store.
struct settings_tree {
  std::int64_t Revision = 0;
  std::vector<std::string> FailureDomains;
  std::map<std::string, team_settings, std::less<>> Teams;
};

/// One stored subtree: its path below tarragonbridge/settings/ and its JSON
/// text.
struct settings_document {
  std::string Path;
  std::string Text;
};

/// @returns the documented defaults: the host's own failure domain, team
/// "default"
settings_tree defaultSettings(std::string_view FailureDomain);

/// Builds the tree from the documents of the store.
///
/// @returns the tree, or all faults in one error
result<settings_tree>
parseSettings(std::int64_t Revision,
              const std::vector<settings_document> &Documents,
              std::string_view OwnFailureDomain);

} // namespace tarragonbridge
