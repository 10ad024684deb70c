/// Learnt speeds of targets and run times of routes.
#pragma once

#include "tarragonbridge/time.h"

#include <map>
#include <string>

namespace tarragonbridge::pool {

/// The speed of one target: expected over measured run times.
class speed_estimate {
public:
  double speed() const;
  /// Learns from a task that has ended as done.
  void learn(milliseconds Expected, milliseconds Ran);
  /// Learns from a task that still runs past what was expected of it.
  void learnOverdue(milliseconds Expected, milliseconds Age);
  /// Takes what an earlier owner has learnt.
  void assume(double Speed);

private:
  double LogMean = 0;
  double Weight = 0; ///< finished tasks behind the mean, bounded
};

/// How far off the callers' estimates of a route are.
class run_time_scale {
public:
  /// @returns the expected run time at speed 1
  milliseconds expected(const std::string &Route, milliseconds Estimated) const;
  /// Learns from a task that has ended as done.
  void learn(const std::string &Route, milliseconds Estimated,
             milliseconds RanAtSpeedOne);

private:
  struct scale {
    double LogMean = 0;
    double Weight = 0;
  };
  std::map<std::string, scale> Scales;
};

} // namespace tarragonbridge::pool
