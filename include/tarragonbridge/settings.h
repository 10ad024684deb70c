/// Settings of the whole system and of its teams.
#pragma once

#include "tarragonbridge/config.h"
#include "tarragonbridge/settings_document.h"
#include "tarragonbridge/team_limits.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge {

/// Settings of one team, with all that it inherits.
struct team_settings {
  team_limits Limits;
  std::uint32_t Urgency = 5; ///< 0 to 9, higher goes first
  std::uint32_t MaxAttempts = config::MaxAttemptsPerTask;
  std::uint32_t RetryPercent =
      config::DefaultRetryPercent; ///< retries for 100 first attempts
  milliseconds DefaultTimeLimit = config::DefaultTimeLimit;
};

/// All settings in force.
struct settings_tree {
  std::int64_t Revision = 0; ///< highest of all subtrees
  std::vector<std::string> FailureDomains;
  std::map<std::string, team_settings, std::less<>> Teams;
};

/// A numeric key of a subtree.
struct settings_field {
  std::string_view Name;
  std::string_view Unit;
  std::uint64_t Least;
  std::uint64_t Most;
  std::uint64_t Default; ///< of a limit, 0: none
  bool IsLimit;          ///< may not exceed the parent's
  std::string_view Text; ///< one sentence for people
  void (*Set)(team_settings &Team, std::uint64_t Value);
};

constexpr std::size_t SettingsFieldCount = 11;

/// @returns every numeric key
const std::array<settings_field, SettingsFieldCount> &settingsFields();

/// Someone who may change a subtree and those below it.
struct settings_operator {
  std::string Name;
  std::string TokenSha256; ///< 64 hexadecimal digits
};

/// What one subtree itself says.
struct subtree_settings {
  std::array<std::optional<std::uint64_t>, SettingsFieldCount> Values;
  std::vector<std::string> FailureDomains; ///< root only
  std::vector<settings_operator> Operators;
  std::string Why;
};

/// Parses the text of a subtree.
///
/// @param[in] Path of the subtree, empty for the root
/// @param[in] Text JSON with comments
/// @returns the settings, or all faults in one error, a line each
result<subtree_settings> parseSubtree(std::string_view Path,
                                      std::string_view Text);

/// @returns whether the text can be the path of a subtree: names of a–z, 0–9,
/// . _ - parted by /; empty for the root
bool isValidSettingsPath(std::string_view Path);

/// @returns the documented defaults: the host's own failure domain, team
/// "default"
settings_tree defaultSettings(std::string_view FailureDomain);

/// Builds the tree; a subtree that doesn't parse counts as empty.
settings_tree buildSettings(const settings_snapshot &Snapshot,
                            std::string_view OwnFailureDomain);

/// A value in force and where it comes from.
struct effective_value {
  std::uint64_t Value = 0;
  std::optional<std::string> Origin; ///< path of a subtree; none: the default
};

using effective_values = std::array<effective_value, SettingsFieldCount>;

/// @returns the values in force at a path, in the order of settingsFields()
effective_values effectiveValues(const settings_snapshot &Snapshot,
                                 std::string_view Path);

/// Checks a subtree before it is written.
///
/// @param[in] Snapshot the settings that it would join
/// @returns an error with all faults: those of the text, and each limit that
/// exceeds the one in force at the parent
result<void> checkSubtree(const settings_snapshot &Snapshot,
                          std::string_view Path, std::string_view Text);

/// Tells who may change a subtree.
///
/// @param[in] TokenSha256 hash of the token, empty when none was sent
/// @returns the operator's name, empty when no subtree names operators; else
/// unauthorized for an unknown token, forbidden for one that may change other
/// subtrees only
result<std::string> authorizeEdit(const settings_snapshot &Snapshot,
                                  std::string_view Path,
                                  std::string_view TokenSha256);

} // namespace tarragonbridge
