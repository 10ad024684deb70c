/// This host as the home of keys: claims that other hosts ask for.
#pragma once

#include "core/state_p.h"

namespace tarragonbridge {

/// @returns the home of a key, nothing when it can't be told
std::optional<host_identity> homeOf(const dispatcher_state &State,
                                    std::string_view Key);

void onClaimsReceived(dispatcher_state &State, const claims_received &Event,
                      instant Now, effects &Effects);

/// @returns the claim by which another host holds a key, nullptr if none
const claim_entry *findClaim(const dispatcher_state &State,
                             const std::string &Key);

} // namespace tarragonbridge
