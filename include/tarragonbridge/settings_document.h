/// Documents of settings as the store keeps them and as peers exchange them.
#pragma once

#include "tarragonbridge/error.h"
#include "tarragonbridge/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge {

/// Who made a change, when and why.
struct settings_edit {
  std::string Id; ///< random, tells an edit whose answer was lost
  std::string By;
  wall_time At;
  std::string Why;

  bool operator==(const settings_edit &) const = default;
};

/// One version of a subtree.
struct settings_version {
  std::int64_t Revision = 0;
  settings_edit Edit;
  std::string Text; ///< JSON with comments, as written

  bool operator==(const settings_version &) const = default;
};

/// One subtree: its path below tarragonbridge/settings/, its present version
/// and earlier ones.
///
/// @remarks Revisions of a subtree only rise, also when the store is restored
/// to an older state: a writer takes one above all that it knows.
struct settings_document {
  std::string Path; ///< empty: the root
  settings_version Present;
  std::vector<settings_version> History; ///< latest first, bounded
};

/// Subtrees with their revisions, by path.
struct settings_snapshot {
  std::map<std::string, settings_document, std::less<>> Documents;
};

/// The revision of each subtree that a host holds, by path.
using settings_revisions = std::map<std::string, std::int64_t, std::less<>>;

/// Parses a value of the store.
///
/// @param[in] Path path of the subtree
/// @param[in] ModRevision the key's; used when the value has no revision
/// @param[in] Value {"edit":{…},"settings":{…}}, or "text" in place of
/// "settings", as formatStoredDocument writes it
/// @returns the document; its settings are not checked
result<settings_document> parseStoredDocument(std::string_view Path,
                                              std::int64_t ModRevision,
                                              std::string_view Value);

/// @returns the value to store; leaves out the oldest versions when it would
/// exceed config::MaxStoredBytes
std::string formatStoredDocument(const settings_document &Document);

/// Makes the next version of a subtree, with its present one in the history.
///
/// @param[in] Base the subtree as it stands; a new one at revision 0
/// @param[in] ModRevision of its key in the store, 0 if absent
settings_document nextVersion(const settings_document &Base,
                              std::int64_t ModRevision, settings_edit Edit,
                              std::string Text);

/// Parses what formatSnapshot wrote.
result<settings_snapshot> parseSnapshot(std::string_view Text);
/// @returns JSON text of the subtrees' present versions, for peers
std::string formatSnapshot(const settings_snapshot &Snapshot);

settings_revisions revisionsOf(const settings_snapshot &Snapshot);
/// @returns the subtrees that are newer than those of the other side
settings_snapshot newerThan(const settings_snapshot &Snapshot,
                            const settings_revisions &Known);
/// @returns the same number for the same subtrees at the same revisions
std::uint64_t digestOf(const settings_revisions &Revisions);

} // namespace tarragonbridge
