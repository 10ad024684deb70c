#include "load/arrivals.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace tarragonbridge {

namespace {
constexpr double ShortestRunMs = 50;
constexpr double LongRunMs = 1'000;
constexpr double LongestRunMs = 5'000;
constexpr double LargestMisjudgement = 10;
constexpr double MaxResubmitDelayMs = 1'000;
constexpr int SampledJobs = 20'000;

constexpr std::array<job_mix, 2> Mixes{{
    {"rates-desk", 3, 0.02, 20, 60, 0.02, milliseconds(30'000)},
    {"ekslibris", 12, 0.02, 100, 730, 0.04, milliseconds(120'000)},
}};

using generator = std::mt19937_64;

double drawLogUniform(generator &Random, double Least, double Most) {
  std::uniform_real_distribution<double> Exponent(std::log(Least),
                                                  std::log(Most));
  return std::exp(Exponent(Random));
}

std::size_t drawTaskCount(generator &Random, const job_mix &Mix) {
  if (std::bernoulli_distribution(Mix.LargeShare)(Random)) {
    return static_cast<std::size_t>(
        drawLogUniform(Random, Mix.LargeTasks, Mix.MostTasks + 1));
  }
  std::geometric_distribution<std::size_t> Further(1 / Mix.MeanTasks);
  return std::min<std::size_t>(1 + Further(Random), Mix.MostTasks);
}

planned_task drawTask(generator &Random, const job_mix &Mix) {
  const bool IsLong = std::bernoulli_distribution(Mix.LongShare)(Random);
  const double RunMs = IsLong
                           ? drawLogUniform(Random, LongRunMs, LongestRunMs)
                           : drawLogUniform(Random, ShortestRunMs, LongRunMs);
  const double Factor =
      drawLogUniform(Random, 1 / LargestMisjudgement, LargestMisjudgement);
  return {milliseconds(std::llround(RunMs)),
          milliseconds(std::max(1LL, std::llround(RunMs * Factor)))};
}

planned_job drawJob(generator &Random, const arrivals_init &Init) {
  planned_job Job;
  Job.Tasks.resize(drawTaskCount(Random, Init.Mix));
  for (planned_task &Task : Job.Tasks) {
    Task = drawTask(Random, Init.Mix);
  }
  Job.Repeatable = std::bernoulli_distribution(Init.RepeatableShare)(Random);
  if (std::bernoulli_distribution(Init.ResubmitShare)(Random)) {
    std::uniform_real_distribution<double> Delay(0, MaxResubmitDelayMs);
    Job.ResubmitAfter = milliseconds(std::llround(Delay(Random)));
  }
  return Job;
}

/// @returns run time of a job at speed 1, on average
double meanWorkMs(const arrivals_init &Init) {
  generator Random(Init.Seed + 1);
  double Sum = 0;
  for (int Sample = 0; Sample < SampledJobs; ++Sample) {
    const std::size_t Count = drawTaskCount(Random, Init.Mix);
    for (std::size_t Task = 0; Task < Count; ++Task) {
      Sum += static_cast<double>(drawTask(Random, Init.Mix).Run.count());
    }
  }
  return Sum / SampledJobs;
}
} // namespace

std::optional<job_mix> findMix(std::string_view Name) {
  const auto *Found =
      std::find_if(Mixes.begin(), Mixes.end(),
                   [&](const job_mix &Mix) { return Mix.Name == Name; });
  return Found == Mixes.end() ? std::nullopt : std::optional(*Found);
}

std::vector<planned_job> planArrivals(const arrivals_init &Init) {
  double Capacity = 0;
  for (const target_shape &Target : Init.Targets) {
    Capacity += Target.Speed * Target.Slots;
  }
  const double JobsPerMs = Init.OfferedLoad * Capacity / meanWorkMs(Init);
  generator Random(Init.Seed);
  std::exponential_distribution<double> Gap(JobsPerMs);
  std::vector<planned_job> Jobs;
  double AtMs = Gap(Random);
  while (AtMs < static_cast<double>(Init.Length.count())) {
    Jobs.push_back(drawJob(Random, Init));
    Jobs.back().At = std::chrono::duration_cast<microseconds>(
        std::chrono::duration<double, std::milli>(AtMs));
    AtMs += Gap(Random);
  }
  return Jobs;
}

} // namespace tarragonbridge
