/// Bodies of the operators' API.
#pragma once

#include "net/http_server.h"
#include "tarragonbridge/settings.h"

namespace tarragonbridge {

/// @param[in] FromStore false when the store is out of reach and the subtree
/// is the one in force at this host
http_response subtreeResponse(const settings_document &Document,
                              bool FromStore);
http_response historyResponse(const settings_document &Document);
http_response effectiveResponse(const settings_snapshot &Snapshot,
                                const std::string &Path);
/// @returns 412 with the present content and who changed it
http_response conflictResponse(const settings_document &Present);
http_response faultResponse(const error &Error);

/// What became of a transaction that was not applied, as far as the store
/// tells.
enum class edit_fate : std::uint8_t {
  Accepted, ///< it is in the store, or was and has been replaced since
  Refused,  ///< it is not, and never will be
  Unknown,  ///< the history doesn't reach back far enough to tell
};

/// @param[in] Present what the store holds
/// @param[in] Base the version that the edit was to replace
/// @param[in] EditId of the edit
edit_fate judgeEdit(const settings_document &Present,
                    const settings_version &Base, const std::string &EditId);

} // namespace tarragonbridge
