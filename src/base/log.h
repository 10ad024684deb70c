/// Logging: one line of key=value pairs for each event, to standard output.
///
/// Logging never waits: lines go through a bounded queue, and what finds no
/// room there, or can't be written, is counted and lost. Under load lines of
/// one event are summed, see log_rate_limiter.h.
#pragma once

#include "base/log_rate_limit.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tarragonbridge {

using log_fields = std::vector<std::pair<std::string, std::string>>;

/// Who writes the queued lines.
enum class log_writer : std::uint8_t {
  Thread, ///< one of its own
  Caller, ///< the thread that calls flushLog, which never blocks
};

struct log_init {
  std::string Process; ///< told in each line
  log_writer Writer = log_writer::Thread;
  log_limits Limits{};
};

/// Begins to log; lines before it are lost.
void initLog(log_init Init);
/// Logs one line. Values with spaces or quotes are quoted.
void logEvent(std::string_view Event, const log_fields &Fields = {});
/// Writes what is queued, as far as standard output takes it at once.
void flushLog();
/// Writes all that is queued; done by itself when the process ends.
void endLog();

struct log_metrics {
  std::uint64_t LinesDropped = 0; ///< no room in the queue, or not written
  std::uint64_t LinesSummed = 0;  ///< over the limits
};
log_metrics logMetrics();

} // namespace tarragonbridge
