#include "core/pool/speeds_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>
#include <cmath>

namespace tarragonbridge::pool {

namespace {
/// Tasks that a route's scale remembers.
constexpr double ScaleMemory = 100;

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

milliseconds run_time_scale::expected(const std::string &Route,
                                      milliseconds Estimated) const {
  const auto Found = Scales.find(Route);
  const double Scale =
      Found == Scales.end() ? 1 : std::exp(Found->second.LogMean);
  const double Exact = Scale * static_cast<double>(Estimated.count());
  return milliseconds(std::max<std::int64_t>(1, std::llround(Exact)));
}

void run_time_scale::learn(const std::string &Route, milliseconds Estimated,
                           milliseconds RanAtSpeedOne) {
  constexpr double MaxScale = 10;
  scale &Scale = Scales[Route];
  const double Value = std::log(
      std::clamp(ratio(RanAtSpeedOne, Estimated), 1 / MaxScale, MaxScale));
  learnLog(Scale.LogMean, Scale.Weight, Value, ScaleMemory);
}

} // namespace tarragonbridge::pool
