#include "core/lateness_p.h"

#include "core/teams_p.h"
#include "tarragonbridge/config.h"

#include <algorithm>
#include <cmath>

namespace tarragonbridge {

namespace {
constexpr double SureDeviations = 2;

microseconds surelyTakes(const run_time_estimate &Estimate,
                         std::optional<milliseconds> Declared) {
  if (Estimate.Samples == 0) {
    return Declared.value_or(milliseconds::zero()) /
           (config::DeclaredTimeMargin * config::FastTargetMargin);
  }
  const double Part = std::exp(-SureDeviations * Estimate.Spread);
  return std::chrono::duration_cast<microseconds>(Estimate.Mean * Part) /
         config::FastTargetMargin;
}

/// @returns how many tasks of the team this host may run at once, at most
std::uint64_t countSlots(const dispatcher_state &State,
                         const std::string &Team) {
  const std::uint64_t Slots = State.Shares.UsableSlots;
  const auto Settings = State.Settings.Teams.find(Team);
  if (Settings == State.Settings.Teams.end()) {
    return Slots;
  }
  return std::min(Slots, wholeShare(Settings->second.Limits).RunningTasks);
}

/// @param[in] Request gives the request of an element of Job.Tasks
template <class Job, class RequestOf>
job_times sumUp(const dispatcher_state &State, const Job &Of,
                RequestOf Request) {
  job_times Times;
  std::optional<milliseconds> Declared;
  run_time_estimate Estimate =
      State.RunTimes.estimate(Of.Team, Of.Class, Declared);
  for (const auto &Task : Of.Tasks) {
    const task_request &Wanted = Request(Task);
    if (Wanted.Expected != Declared) {
      Declared = Wanted.Expected;
      Estimate = State.RunTimes.estimate(Of.Team, Of.Class, Declared);
    }
    const microseconds Sure = surelyTakes(Estimate, Declared);
    Times.Longest = std::max(Times.Longest, Estimate.Mean);
    Times.SureLongest = std::max(Times.SureLongest, Sure);
    Times.SureTotal += Sure;
  }
  return Times;
}
} // namespace

job_times timesOf(const dispatcher_state &State, const job_request &Job) {
  return sumUp(
      State, Job,
      [](const task_request &Task) -> const task_request & { return Task; });
}

job_times timesOf(const dispatcher_state &State, const job_record &Job) {
  return sumUp(State, Job, [](const task_record &Task) -> const task_request & {
    return Task.Request;
  });
}

boot_time rankOf(const job_times &Times, instant Now) {
  return Now.Boot + config::QueueStretch * Times.Longest;
}

bool isSurelyLate(const dispatcher_state &State, const job_request &Job,
                  instant Now) {
  const microseconds Left =
      Job.SubmittedAt + timeLimitOf(State, Job) - Now.Wall;
  const job_times Times = timesOf(State, Job);
  if (Left <= Times.SureLongest) {
    return true;
  }
  const auto Slots = static_cast<std::int64_t>(countSlots(State, Job.Team));
  if (Slots == 0) {
    return false; // nothing is known of the targets yet
  }
  // Work that would keep all slots busy until it is too late.
  const microseconds Enough =
      std::min(Slots * (Left - Times.SureLongest),
               std::max(Slots * Left - Times.SureTotal, microseconds(0)));
  const microseconds Ahead =
      State.Queues.workAhead(Job.Team, rankOf(Times, Now), Enough);
  return Ahead >= Enough;
}

} // namespace tarragonbridge
