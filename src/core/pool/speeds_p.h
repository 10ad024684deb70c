/// Estimates of target speeds and of run times per route.
#pragma once

#include "tarragonbridge/time.h"

#include <map>
#include <string>

namespace tarragonbridge::pool {

/// Estimated speed of one target: expected over measured run time.
class speed_estimate {
public:
  double speed() const;
  /// Adds a sample from a task that succeeded.
  void addSample(milliseconds Expected, milliseconds RunTime);
  /// Lowers the estimate for a task that runs for longer than expected.
  void addOverdueSample(milliseconds Expected, milliseconds Age);
  /// Sets the estimate to an earlier owner's.
  void seed(double Speed);
  /// Moves a speed without recent samples towards the mean of its kind.
  void decayTowards(double KindSpeed);
  /// @returns whether there is any sample
  bool isMeasured() const { return Weight > 0; }

private:
  double LogMean = 0;
  double Weight = 0; ///< finished tasks behind the mean, bounded
};

/// Estimator of the run times of a route's tasks.
///
/// @remarks Callers' estimates are right on average, but single ones are far
/// off. Each is therefore averaged with the route's mean, on a logarithmic
/// scale.
class run_time_estimator {
public:
  /// @returns the expected run time at speed 1
  milliseconds expected(const std::string &Route, milliseconds Estimated) const;
  /// Adds a submitted job's estimate to the route's mean.
  void addSample(const std::string &Route, milliseconds Estimated);

private:
  struct route_mean {
    double LogMean = 0;
    double Weight = 0;
  };
  std::map<std::string, route_mean> Routes;
};

} // namespace tarragonbridge::pool
