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

void speed_estimate::learn(milliseconds Expected, milliseconds Ran) {
  const double Value = std::log(
      std::clamp(ratio(Expected, Ran), config::MinSpeed, config::MaxSpeed));
  learnLog(LogMean, Weight, Value, config::SpeedMemory);
}

void speed_estimate::learnOverdue(milliseconds Expected, milliseconds Age) {
  const double Most = std::log(
      std::clamp(ratio(Expected, Age), config::MinSpeed, config::MaxSpeed));
  if (Most < LogMean) {
    LogMean = Most;
    Weight = std::max(Weight / 2, 1.0);
  }
}

void speed_estimate::assume(double Speed) {
  LogMean = std::log(std::clamp(Speed, config::MinSpeed, config::MaxSpeed));
  Weight = std::max(Weight, config::SpeedMemory / 2);
}

void speed_estimate::drawTo(double KindSpeed) {
  constexpr double Part = 0.05; // of the distance, each time
  if (isKnown()) {
    LogMean += Part * (std::log(KindSpeed) - LogMean);
  }
}

milliseconds run_time_scale::expected(const std::string &Route,
                                      milliseconds Estimated) const {
  const auto Found = Routes.find(Route);
  const double Log = logOf(Estimated);
  const double Usual = Found == Routes.end() ? Log : Found->second.LogMean;
  const double Drawn = Usual + config::EstimateTrust * (Log - Usual);
  return milliseconds(std::max<std::int64_t>(1, std::llround(std::exp(Drawn))));
}

void run_time_scale::learn(const std::string &Route, milliseconds Estimated) {
  usual &Usual = Routes[Route];
  learnLog(Usual.LogMean, Usual.Weight, logOf(Estimated), EstimateMemory);
}

} // namespace tarragonbridge::pool
