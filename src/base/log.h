/// Logging: one line of key=value pairs for each event.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tarragonbridge {

using log_fields = std::vector<std::pair<std::string, std::string>>;

/// Sends log lines to standard error, each with time, process and event.
void initLog(std::string_view Process);

/// Writes one line. Values with spaces or quotes are quoted.
void logEvent(std::string_view Event, const log_fields &Fields = {});

} // namespace tarragonbridge
