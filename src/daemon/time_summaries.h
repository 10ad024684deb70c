/// Summaries of observed times for /metrics.
#pragma once

#include "tarragonbridge/event.h"

#include <memory>
#include <mutex>
#include <string>

namespace tarragonbridge {

/// Count, sum and quantiles of each time metric, estimated in constant memory.
///
/// @remarks Safe to use from several threads.
class time_summaries {
public:
  time_summaries();
  ~time_summaries();
  time_summaries(const time_summaries &) = delete;
  time_summaries &operator=(const time_summaries &) = delete;

  void add(const observe_time &Observation);

  /// @returns the summaries in the text exposition format, times in seconds
  std::string format() const;

private:
  struct summaries;
  mutable std::mutex Mutex;
  std::unique_ptr<summaries> Summaries; ///< guarded by Mutex
};

} // namespace tarragonbridge
