/// The speed of a target, learnt from finished tasks.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace tarragonbridge {

/// Speed relative to the fleet: run times are divided by it.
class target_speed {
public:
  double value() const { return std::exp(Log); }

  /// @returns a speed that the target may well have: the less is known of it,
  /// the further above the mean, so that each target is tried
  double hopedFor() const {
    constexpr double FirstMargin = 0.7; // a factor of 2
    return std::exp(Log + FirstMargin / static_cast<double>(1 + Count));
  }

  /// Learns from a finished task.
  ///
  /// @param[in] Residual logarithm of the measured over the expected run time
  void learn(double Residual) {
    constexpr std::size_t PriorTasks = 2;
    constexpr std::size_t MemoryTasks = 60;
    constexpr double MaxLog = 3.5; // a factor of 33
    Count = std::min(Count + 1, MemoryTasks);
    const double Step = Residual / static_cast<double>(Count + PriorTasks);
    Log = std::clamp(Log - Step, -MaxLog, MaxLog);
  }

private:
  double Log = 0;
  std::size_t Count = 0;
};

} // namespace tarragonbridge
