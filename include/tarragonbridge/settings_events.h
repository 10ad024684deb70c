/// Events and effects of settings.
#pragma once

#include "tarragonbridge/settings.h"

#include <memory>
#include <string>
#include <vector>

namespace tarragonbridge {

// Events.

/// Replaces the settings in force, for programs without a store.
struct settings_loaded {
  settings_tree Settings;
};

enum class settings_source : std::uint8_t { Store, Peer };

/// Subtrees that the store or a peer has. Only higher revisions are applied.
struct settings_offered {
  settings_source Source = settings_source::Store;
  std::string Peer; ///< address of the store or peer
  settings_snapshot Snapshot;
  bool IsWhole = false;             ///< Snapshot holds all that the store has
  std::vector<std::string> Missing; ///< paths that the store no longer has
};

/// A value of the store that is no document of settings.
struct settings_unreadable {
  std::string Path;
  std::int64_t ModRevision = 0;
  std::string Message;
};

/// The store was reached again, or no longer.
struct store_contact {
  bool Reached = false;
  std::string Message; ///< why not
};

// Effects.

/// The subtrees in force, after a change.
struct settings_applied {
  std::shared_ptr<const settings_snapshot> Snapshot;
};

} // namespace tarragonbridge
