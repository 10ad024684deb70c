#include "load_generator.h"

#include <algorithm>
#include <cmath>

namespace tarragonbridge::pool {

std::vector<request_kind> siteRequestMix() {
  return {{"r0", 34.4, 8, milliseconds(60), 0.0291},
          {"r1", 6.25, 4, milliseconds(900), 0.16},
          {"r2", 100, 2, milliseconds(200), 0.01}};
}

load_generator::load_generator(pool_simulation &Simulation,
                               const load_generator_init &Init)
    : Simulation(Simulation), Init(Init), Random(Init.Seed) {}

double load_generator::logNormalFactor(double Sigma) {
  // The shift by -Sigma^2 / 2 keeps the mean at one.
  return std::exp(
      std::normal_distribution<>(-Sigma * Sigma / 2, Sigma)(Random));
}

void load_generator::runFor(milliseconds Time) {
  const boot_time End = Simulation.now() + Time;
  double TotalPerSecond = 0;
  for (const request_kind &Kind : Init.Kinds) {
    TotalPerSecond += Kind.PerSecond;
  }
  while (Simulation.now() < End) {
    const double IntervalSeconds = std::exponential_distribution<>(
        TotalPerSecond * Init.RateFactor)(Random);
    Simulation.runFor(std::chrono::duration_cast<microseconds>(
        std::chrono::duration<double>(IntervalSeconds)));
    double Remaining =
        std::uniform_real_distribution<>(0, TotalPerSecond)(Random);
    for (const request_kind &Kind : Init.Kinds) {
      Remaining -= Kind.PerSecond;
      if (Remaining <= 0) {
        submitJob(Kind);
        break;
      }
    }
  }
}

namespace {
/// @returns what a job is worth to its caller: more than a constant part grows
/// with its work
double worthOf(const request_kind &Kind, const simulated_job &Job) {
  constexpr double ConstantPart = 0.3;
  constexpr double MaxFactor = 4;
  const double Work = Job.Tasks * static_cast<double>(Job.RunTime.count()) /
                      (Kind.Tasks * static_cast<double>(Kind.RunTime.count()));
  return Kind.Worth *
         std::min(ConstantPart + (1 - ConstantPart) * Work, MaxFactor);
}
} // namespace

void load_generator::submitJob(const request_kind &Kind) {
  constexpr std::uint32_t MaxTasks = 32;
  simulated_job Job;
  Job.Id = Kind.Route + "-" + std::to_string(SubmittedJobs.size());
  Job.Route = Kind.Route;
  Job.Tasks = static_cast<std::uint32_t>(
      std::clamp(std::llround(Kind.Tasks * logNormalFactor(Init.JobSigma)), 1LL,
                 static_cast<long long>(MaxTasks)));
  const double RunTime = static_cast<double>(Kind.RunTime.count()) *
                         logNormalFactor(Init.JobSigma);
  Job.RunTime = milliseconds(std::llround(RunTime));
  Job.EstimatedRunTime =
      milliseconds(std::llround(RunTime * logNormalFactor(Init.EstimateSigma)));
  double LongestRunTimeMs = 0;
  for (std::uint32_t Task = 0; Task < Job.Tasks; ++Task) {
    Job.TaskRunTimes.emplace_back(
        std::llround(RunTime * logNormalFactor(Init.TaskSigma)));
    LongestRunTimeMs = std::max(
        LongestRunTimeMs, static_cast<double>(Job.TaskRunTimes.back().count()));
  }
  constexpr double ObjectiveFactor = 1.6; // as in the simulation's routes
  constexpr milliseconds ObjectiveMargin{60};
  const std::size_t Host =
      std::uniform_int_distribution<std::size_t>(0, Init.Hosts - 1)(Random);
  SubmittedJobs.push_back(
      {Simulation.now(), Simulation.submit(Host, Job),
       milliseconds(std::llround(ObjectiveFactor * LongestRunTimeMs)) +
           ObjectiveMargin,
       worthOf(Kind, Job), Kind.Route});
}

/// What a late answer is worth of one within the objective.
constexpr double LateWorthFraction = 0.2;

load_report load_generator::report(boot_time From, boot_time To) const {
  load_report Report;
  for (const submitted_job &Job : SubmittedJobs) {
    if (Job.At < From || Job.At >= To) {
      continue;
    }
    ++Report.Submitted;
    load_report::worth &OfRoute = Report.WorthByRoute[Job.Route];
    Report.Worth.Owed += Job.Worth;
    OfRoute.Owed += Job.Worth;
    ++OfRoute.Submitted;
    const auto Response = Simulation.responseOf(Job.Request);
    if (Response == response_kind::JobDone) {
      const bool IsWithinObjective =
          Simulation.responseTime(Job.Request) <= Job.Objective;
      ++(IsWithinObjective ? Report.WithinObjective : Report.Late);
      OfRoute.Late += IsWithinObjective ? 0 : 1;
      const double Earned =
          IsWithinObjective ? Job.Worth : LateWorthFraction * Job.Worth;
      Report.Worth.Earned += Earned;
      OfRoute.Earned += Earned;
    } else if (Response == response_kind::Overloaded) {
      ++Report.Refused;
      ++OfRoute.Refused;
    } else {
      ++Report.Abandoned;
    }
  }
  return Report;
}

} // namespace tarragonbridge::pool
