/// Structured log on standard output: one line of key=value pairs per event.
///
/// Logging never blocks: lines go through a bounded queue, and lines that don't
/// fit into the queue or can't be written are counted and dropped. Under load
/// the lines of each event are limited in rate, see log_rate_limit.h.
#pragma once

#include "base/log_rate_limit.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tarragonbridge {

using log_fields = std::vector<std::pair<std::string, std::string>>;

/// Thread that writes the queued lines.
enum class log_writer : std::uint8_t {
  Thread, ///< a dedicated thread
  Caller, ///< the thread that calls flushLog(), which never blocks
};

struct log_init {
  std::string Process; ///< name in the field "process" of each line
  log_writer Writer = log_writer::Thread;
  log_limits Limits{};
};

/// Starts the log; lines that were logged before are dropped.
void initLog(log_init Init);
/// Logs one line. Values that are empty, or contain white space, quotes, equals
/// signs or backslashes, are quoted.
void logEvent(std::string_view Event, const log_fields &Fields = {});
/// Writes queued lines, as far as standard output accepts them without
/// blocking.
void flushLog();
/// Writes all queued lines and stops the log; runs automatically at process
/// exit.
void endLog();

struct log_metrics {
  std::uint64_t LinesDropped = 0;    ///< the queue was full, or writing failed
  std::uint64_t LinesSuppressed = 0; ///< over the rate limits
};
log_metrics logMetrics();

} // namespace tarragonbridge
