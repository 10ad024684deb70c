#include "core/pool/speeds_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>
#include <cmath>

namespace tarragonbridge::pool {

namespace {
/// Window of a route's mean estimate, in jobs.
constexpr double EstimateWindowJobs = 200;

double logMilliseconds(milliseconds Time) {
  return std::log(static_cast<double>(std::max<std::int64_t>(1, Time.count())));
}

double ratio(milliseconds A, milliseconds B) {
  return static_cast<double>(std::max<std::int64_t>(1, A.count())) /
         static_cast<double>(std::max<std::int64_t>(1, B.count()));
}

void addLogSample(double &LogMean, double &Weight, double LogSample,
                  double Window) {
  Weight = std::min(Weight + 1, Window);
  LogMean += (LogSample - LogMean) / Weight;
}
} // namespace

double speed_estimate::speed() const {
  return std::clamp(std::exp(LogMean), config::MinSpeed, config::MaxSpeed);
}

void speed_estimate::addSample(milliseconds Expected, milliseconds RunTime) {
  const double LogSample = std::log(
      std::clamp(ratio(Expected, RunTime), config::MinSpeed, config::MaxSpeed));
  addLogSample(LogMean, Weight, LogSample, config::SpeedWindowTasks);
}

void speed_estimate::addOverdueSample(milliseconds Expected, milliseconds Age) {
  const double MaxLogSpeed = std::log(
      std::clamp(ratio(Expected, Age), config::MinSpeed, config::MaxSpeed));
  if (MaxLogSpeed < LogMean) {
    LogMean = MaxLogSpeed;
    Weight = std::max(Weight / 2, 1.0);
  }
}

void speed_estimate::seed(double Speed) {
  LogMean = std::log(std::clamp(Speed, config::MinSpeed, config::MaxSpeed));
  Weight = std::max(Weight, config::SpeedWindowTasks / 2);
}

void speed_estimate::decayTowards(double KindSpeed) {
  constexpr double DecayFraction = 0.05; // of the distance, per call
  if (isMeasured()) {
    LogMean += DecayFraction * (std::log(KindSpeed) - LogMean);
  }
}

milliseconds run_time_estimator::expected(const std::string &Route,
                                          milliseconds Estimated) const {
  const auto Found = Routes.find(Route);
  const double Log = logMilliseconds(Estimated);
  const double RouteMean = Found == Routes.end() ? Log : Found->second.LogMean;
  const double WeightedLog =
      RouteMean + config::EstimateWeight * (Log - RouteMean);
  return milliseconds(
      std::max<std::int64_t>(1, std::llround(std::exp(WeightedLog))));
}

void run_time_estimator::addSample(const std::string &Route,
                                   milliseconds Estimated) {
  route_mean &RouteMean = Routes[Route];
  addLogSample(RouteMean.LogMean, RouteMean.Weight, logMilliseconds(Estimated),
               EstimateWindowJobs);
}

} // namespace tarragonbridge::pool
