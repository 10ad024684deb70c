/// How much room a message between hosts takes in a datagram.
#pragma once

#include "tarragonbridge/pool/peer_messages.h"

#include <cstddef>
#include <vector>

namespace tarragonbridge::pool {

/// @returns an upper estimate of the size of an encoded message, in bytes
std::size_t estimatedSize(const peer_message &Message);

/// @returns the offer in parts, each of which fits into a datagram with others
/// of its tasks: at least one part, with at least one task if there is any
std::vector<task_offer> splitOffer(task_offer Offer);

} // namespace tarragonbridge::pool
