/// Strangers that send datagrams, each under a name of its own.
#pragma once

#include "crowd/forms.h"

#include <netinet/in.h>

namespace tarragonbridge::crowd {

/// Sends the units of a form, each in a datagram; waits for no response.
///
/// @param[in] Senders number of sockets, which send in turn
void sendDatagrams(const sockaddr_in &Address, const form &Form, int Senders);

} // namespace tarragonbridge::crowd
