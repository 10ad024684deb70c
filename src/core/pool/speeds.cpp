#include "core/pool/speeds_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>
#include <cmath>

namespace tarragonbridge::pool {

namespace {
/// Jobs that a route's usual estimate remembers.
constexpr double EstimateMemory = 200;

double logOf(milliseconds Time) {
  return std::log(static_cast<double>(std::max<std::int64_t>(1, Time.count())));
}

double ratio(milliseconds A, milliseconds B) {
  return static_cast<double>(std::max<std::int64_t>(1, A.count())) /
         static_cast<double>(std::max<std::int64_t>(1, B.count()));
}

void learnLog(double &LogMean, double &Weight, double Value, double Memory) {
  Weight = std::min(Weight + 1, Memory);
  LogMean += (Value - LogMean) / Weight;
}
} // namespace

double speed_estimate::speed() const {
  return std::clamp(std::exp(LogMean), config::MinSpeed, config::MaxSpeed);
}

void speed_estimate::addSample(milliseconds Expected, milliseconds RunTime) {
  const double Value = std::log(
      std::clamp(ratio(Expected, RunTime), config::MinSpeed, config::MaxSpeed));
  learnLog(LogMean, Weight, Value, config::SpeedWindowTasks);
}

void speed_estimate::addOverdueSample(milliseconds Expected, milliseconds Age) {
  const double Most = std::log(
      std::clamp(ratio(Expected, Age), config::MinSpeed, config::MaxSpeed));
  if (Most < LogMean) {
    LogMean = Most;
    Weight = std::max(Weight / 2, 1.0);
  }
}

void speed_estimate::seed(double Speed) {
  LogMean = std::log(std::clamp(Speed, config::MinSpeed, config::MaxSpeed));
  Weight = std::max(Weight, config::SpeedWindowTasks / 2);
}

void speed_estimate::decayTowards(double KindSpeed) {
  constexpr double Part = 0.05; // of the distance, each time
  if (isMeasured()) {
    LogMean += Part * (std::log(KindSpeed) - LogMean);
  }
}

milliseconds run_time_estimator::expected(const std::string &Route,
                                          milliseconds Estimated) const {
  const auto Found = Routes.find(Route);
  const double Log = logOf(Estimated);
  const double Usual = Found == Routes.end() ? Log : Found->second.LogMean;
  const double Drawn = Usual + config::EstimateWeight * (Log - Usual);
  return milliseconds(std::max<std::int64_t>(1, std::llround(std::exp(Drawn))));
}

void run_time_estimator::addSample(const std::string &Route,
                                   milliseconds Estimated) {
  route_mean &Usual = Routes[Route];
  learnLog(Usual.LogMean, Usual.Weight, logOf(Estimated), EstimateMemory);
}

} // namespace tarragonbridge::pool
