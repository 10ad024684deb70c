/// IP addresses with ports, as written in settings.
#pragma once

#include <netinet/in.h>
#include <optional>
#include <string>
#include <string_view>

namespace tarragonbridge {

/// Parses "127.0.0.1:8080". @returns nothing for any other form
std::optional<sockaddr_in> parseAddress(std::string_view Text);

} // namespace tarragonbridge
