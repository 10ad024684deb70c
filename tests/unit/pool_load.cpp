#include "pool_load.h"

#include <algorithm>
#include <cmath>

namespace tarragonbridge::pool {

std::vector<load_kind> deskMix() {
  return {{"r0", 34.4, 8, milliseconds(60)},
          {"r1", 6.25, 4, milliseconds(900)},
          {"r2", 100, 2, milliseconds(200)}};
}

pool_load::pool_load(pool_simulation &World, const load_init &Init)
    : World(World), Init(Init), Random(Init.Seed) {}

double pool_load::spread(double Sigma) {
  // The mean stays one.
  return std::exp(
      std::normal_distribution<>(-Sigma * Sigma / 2, Sigma)(Random));
}

void pool_load::runFor(milliseconds Time) {
  const boot_time End = World.now() + Time;
  double Sum = 0;
  for (const load_kind &Kind : Init.Kinds) {
    Sum += Kind.PerSecond;
  }
  while (World.now() < End) {
    const double Gap =
        std::exponential_distribution<>(Sum * Init.Factor)(Random);
    World.runFor(std::chrono::duration_cast<microseconds>(
        std::chrono::duration<double>(Gap)));
    double Drawn = std::uniform_real_distribution<>(0, Sum)(Random);
    for (const load_kind &Kind : Init.Kinds) {
      Drawn -= Kind.PerSecond;
      if (Drawn <= 0) {
        post(Kind);
        break;
      }
    }
  }
}

void pool_load::post(const load_kind &Kind) {
  constexpr std::uint32_t MostTasks = 32;
  simulated_job Job;
  Job.Id = Kind.Route + "-" + std::to_string(Posted.size());
  Job.Route = Kind.Route;
  Job.Tasks = static_cast<std::uint32_t>(
      std::clamp(std::llround(Kind.Tasks * spread(Init.Spread)), 1LL,
                 static_cast<long long>(MostTasks)));
  const double Work =
      static_cast<double>(Kind.Work.count()) * spread(Init.Spread);
  Job.Work = milliseconds(std::llround(Work));
  Job.Estimated = milliseconds(std::llround(Work * spread(Init.EstimateError)));
  double Longest = 0;
  for (std::uint32_t Task = 0; Task < Job.Tasks; ++Task) {
    Job.WorkOf.emplace_back(std::llround(Work * spread(Init.Uneven)));
    Longest = std::max(Longest, static_cast<double>(Job.WorkOf.back().count()));
  }
  constexpr double Stretch = 1.6; // of the routes in the simulation
  constexpr milliseconds Margin{60};
  const std::size_t Host =
      std::uniform_int_distribution<std::size_t>(0, Init.Hosts - 1)(Random);
  Posted.push_back({World.now(), World.submit(Host, Job),
                    milliseconds(std::llround(Stretch * Longest)) + Margin});
}

load_report pool_load::report(boot_time From, boot_time To) const {
  load_report Report;
  for (const posted_job &Job : Posted) {
    if (Job.At < From || Job.At >= To) {
      continue;
    }
    ++Report.Asked;
    const auto Answer = World.answerOf(Job.Request);
    if (Answer == response_kind::JobDone) {
      const bool IsInTime = World.answeredAfter(Job.Request) <= Job.Objective;
      ++(IsInTime ? Report.InTime : Report.Late);
    } else if (Answer == response_kind::Overloaded) {
      ++Report.Refused;
    } else {
      ++Report.GivenUp;
    }
  }
  return Report;
}

} // namespace tarragonbridge::pool
