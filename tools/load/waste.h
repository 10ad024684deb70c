/// Messages beyond one start and one reply for each task, by kind.
#pragma once

#include "checker/records.h"
#include "net/http_client.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge {

/// Values of a daemon's /metrics by name with labels.
using metric_values = std::map<std::string, double, std::less<>>;

/// Parses the text of /metrics; lines out of form are left out.
metric_values parseMetrics(std::string_view Text);

/// @returns the sum of each value over all hosts that answer
metric_values readMetrics(http_client &Client,
                          const std::vector<std::string> &Hosts);

struct message_counts {
  std::uint64_t Starts = 0;       ///< at targets
  std::uint64_t StartedTasks = 0; ///< tasks with at least one start
  std::map<std::string, std::uint64_t> Wasted; ///< messages by kind
};

/// Counts messages: a refused or repeated start and a stop are two each, the
/// request and its reply.
///
/// @param[in] Records of all targets, for this run only
/// @param[in] Before values at the beginning of the run
/// @param[in] After values at its end
message_counts countMessages(const std::vector<target_line> &Records,
                             const metric_values &Before,
                             const metric_values &After);

} // namespace tarragonbridge
