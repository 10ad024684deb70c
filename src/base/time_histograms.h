/// Histograms of measured times for /metrics.
#pragma once

#include "tarragonbridge/observations.h"

#include <memory>
#include <mutex>
#include <string>

namespace tarragonbridge {

/// Count, sum and buckets of each time metric, in constant memory.
///
/// @remarks Thread-safe.
class time_histograms {
public:
  time_histograms();
  ~time_histograms();
  time_histograms(const time_histograms &) = delete;
  time_histograms &operator=(const time_histograms &) = delete;

  void add(const observe_time &Observation);

  /// @returns all histograms in the Prometheus text exposition format, with
  /// times in seconds
  std::string format() const;

private:
  struct histograms;
  mutable std::mutex Mutex;
  std::unique_ptr<histograms> Histograms; ///< guarded by Mutex
};

} // namespace tarragonbridge
