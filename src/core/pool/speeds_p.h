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
  void addSample(milliseconds Expected, milliseconds RunTime);
  /// Learns from a task that still runs past what was expected of it.
  void addOverdueSample(milliseconds Expected, milliseconds Age);
  /// Takes what an earlier owner has learnt.
  void seed(double Speed);
  /// Draws a speed that wasn't measured lately towards its kind's.
  void decayTowards(double KindSpeed);
  /// @returns whether anything was learnt
  bool isMeasured() const { return Weight > 0; }

private:
  double LogMean = 0;
  double Weight = 0; ///< finished tasks behind the mean, bounded
};

/// What is to be expected of a route's tasks.
///
/// @remarks Callers' estimates are right on the whole and far off one by one.
/// An estimate is drawn towards the route's usual one, on a logarithmic scale.
class run_time_estimator {
public:
  /// @returns the expected run time at speed 1
  milliseconds expected(const std::string &Route, milliseconds Estimated) const;
  /// Learns what is usual from a submitted job.
  void addSample(const std::string &Route, milliseconds Estimated);

private:
  struct route_mean {
    double LogMean = 0;
    double Weight = 0;
  };
  std::map<std::string, route_mean> Routes;
};

} // namespace tarragonbridge::pool
