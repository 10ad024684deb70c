#include "core/retries_p.h"

#include "core/dispatch_p.h"
#include "core/teams_p.h"
#include "tarragonbridge/config.h"

#include <algorithm>

namespace tarragonbridge {

namespace {
constexpr std::uint32_t MaxDoublings = 10;

/// @returns the base doubled for each round, bounded, and cut by up to a half
milliseconds backoff(dispatcher_state &State, milliseconds Base,
                     std::uint32_t Round) {
  const milliseconds Whole =
      std::min(Base * (1 << std::min(Round, MaxDoublings)), config::MaxBackoff);
  std::uniform_int_distribution<std::int64_t> Part((Whole / 2).count(),
                                                   Whole.count());
  return milliseconds(Part(State.Random));
}

retry_budget &teamBudget(dispatcher_state &State, const std::string &Team) {
  return State.RetryBudgets.try_emplace(Team, config::TeamRetryBudget)
      .first->second;
}

void waitFor(dispatcher_state &State, job_record &Job, std::uint32_t Index,
             boot_time When) {
  Job.Tasks[Index].Phase = task_phase::BackingOff;
  setTimer(State, When, timer_kind::Retry, Job.Key, Index);
}
} // namespace

void earnRetries(dispatcher_state &State, const job_record &Job,
                 const task_record &Task, target_record &Target) {
  Target.Budget.earn();
  if (Task.Attempts == 1) {
    constexpr double Percent = 100;
    teamBudget(State, Job.Team)
        .earn(settingsOf(State, Job.Team).RetryPercent / Percent);
  }
}

bool takeRetry(dispatcher_state &State, const job_record &Job,
               const task_record &Task) {
  if (Task.Attempts - Task.Refusals >=
      settingsOf(State, Job.Team).MaxAttempts) {
    State.Figures.Reasons.add(reason::AttemptsUsedUp);
    return false;
  }
  if (!teamBudget(State, Job.Team).take()) {
    State.Figures.Reasons.add(reason::RetryBudgetEmpty);
    return false;
  }
  return true;
}

void retryLater(dispatcher_state &State, job_record &Job, std::uint32_t Index,
                instant Now) {
  const task_record &Task = Job.Tasks[Index];
  const std::uint32_t Round = Task.Attempts - Task.Refusals - 1;
  waitFor(State, Job, Index,
          Now.Boot + backoff(State, config::RetryBackoff, Round));
}

void requeueNotRun(dispatcher_state &State, job_record &Job,
                   std::uint32_t Index, instant Now) {
  task_record &Task = Job.Tasks[Index];
  ++Task.Refusals;
  if (Task.Refusals == 1) {
    Task.Phase = task_phase::Queued;
    Task.QueuedAt = Now.Boot;
    enqueueTask(State, Job, Index);
    return;
  }
  waitFor(State, Job, Index,
          Now.Boot + backoff(State, config::RefusalBackoff, Task.Refusals - 2));
}

void noteRefusal(dispatcher_state &State, target_record &Target, reason Reason,
                 instant Now) {
  State.Figures.Reasons.add(Reason);
  if (Reason == reason::TargetLeaving) {
    Target.Host.State = host_state::Leaving;
  }
  // Past its budget a target is asked again only at the longest interval.
  const std::uint32_t Round =
      Target.Budget.take() ? Target.Refusals : MaxDoublings;
  Target.Refusals = std::min(Target.Refusals + 1, MaxDoublings);
  Target.FullUntil = Now.Boot + backoff(State, config::RefusalBackoff, Round);
  setTimer(State, Target.FullUntil, timer_kind::Dispatch);
}

} // namespace tarragonbridge
