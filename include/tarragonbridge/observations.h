/// Times that are measured for the metrics.
#pragma once

#include "tarragonbridge/time.h"

#include <cstdint>

namespace tarragonbridge {

enum class time_metric : std::uint8_t {
  JobResponse,  ///< from submission at this host to the end of the job
  TaskQueueing, ///< from queued to sent
  TaskAtTarget, ///< from sent to the reply, or end, that was heard
  Count
};

struct observe_time {
  time_metric Metric = time_metric::JobResponse;
  microseconds Value{};
};

} // namespace tarragonbridge
