#include "tarragonbridge/run_times.h"

#include "tarragonbridge/config.h"

#include <algorithm>
#include <cmath>

namespace tarragonbridge {

namespace {
constexpr double MinMilliseconds = 0.1;

double toMilliseconds(microseconds Time) {
  const std::chrono::duration<double, std::milli> Exact = Time;
  return std::max(Exact.count(), MinMilliseconds);
}

milliseconds toDuration(double Milliseconds) {
  const double Longest = static_cast<double>(config::MaxTimeLimit.count());
  return milliseconds(std::llround(std::ceil(std::min(Milliseconds, Longest))));
}
} // namespace

void log_average::add(double Value) {
  ++Count;
  const double Weight = std::max(1.0 / static_cast<double>(Count),
                                 1.0 / config::RunTimeMemoryTasks);
  const double Distance = Value - Mean;
  Mean += Weight * Distance;
  Variance = (1 - Weight) * (Variance + Weight * Distance * Distance);
}

void run_times::learn(std::string_view Team, std::string_view Class,
                      std::optional<milliseconds> Declared,
                      microseconds RunTime) {
  class_record &Record = findOrAdd(Team, Class);
  const double Log = std::log(toMilliseconds(RunTime));
  Record.RunTime.add(Log);
  if (Declared) {
    Record.Declared.add(Log - std::log(toMilliseconds(*Declared)));
  }
}

run_time_estimate
run_times::estimate(std::string_view Team, std::string_view Class,
                    std::optional<milliseconds> Declared) const {
  const class_record *Record = find(Team, Class);
  if (Record == nullptr || Record->RunTime.Count < config::MinRunTimeSamples) {
    const milliseconds Mean = Declared.value_or(config::DefaultExpectedRunTime);
    return {Mean, std::log(toMilliseconds(Mean)), 1, 0};
  }
  const bool UsesDeclared =
      Declared && Record->Declared.Count >= config::MinRunTimeSamples &&
      Record->Declared.Variance < Record->RunTime.Variance;
  const log_average &Used = UsesDeclared ? Record->Declared : Record->RunTime;
  const double Factor = UsesDeclared ? toMilliseconds(*Declared) : 1;
  // Mean of a log-normal distribution.
  const double Mean = Factor * std::exp(Used.Mean + Used.Variance / 2);
  return {toDuration(Mean), std::log(Factor) + Used.Mean,
          std::sqrt(Used.Variance), Used.Count};
}

run_times::class_record &run_times::findOrAdd(std::string_view Team,
                                              std::string_view Class) {
  auto AtTeam = Teams.find(Team);
  if (AtTeam == Teams.end()) {
    AtTeam = Teams.try_emplace(std::string(Team)).first;
  }
  classes &Classes = AtTeam->second;
  const auto Found = Classes.find(Class);
  if (Found != Classes.end()) {
    return Found->second;
  }
  if (Size >= config::MaxRunTimeClasses) {
    return Classes[""]; // shared by the classes past the bound
  }
  ++Size;
  return Classes[std::string(Class)];
}

const run_times::class_record *run_times::find(std::string_view Team,
                                               std::string_view Class) const {
  const auto AtTeam = Teams.find(Team);
  if (AtTeam == Teams.end()) {
    return nullptr;
  }
  auto Found = AtTeam->second.find(Class);
  if (Found == AtTeam->second.end()) {
    Found = AtTeam->second.find("");
  }
  return Found == AtTeam->second.end() ? nullptr : &Found->second;
}

} // namespace tarragonbridge
