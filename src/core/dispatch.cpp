#include "core/dispatch_p.h"

#include "core/attempts_p.h"
#include "core/lateness_p.h"
#include "core/placement_p.h"
#include "core/teams_p.h"
#include "tarragonbridge/config.h"

#include <algorithm>

namespace tarragonbridge {

namespace {
std::uint64_t payloadBytes(const job_record &Job) {
  std::uint64_t Bytes = 0;
  for (const task_record &Task : Job.Tasks) {
    Bytes += Task.Request.Payload.size();
  }
  return Bytes;
}

/// Needs of tasks that found no target in one pass.
class unplaced_needs {
public:
  /// @returns whether a task with no larger needs found no target
  bool covers(const resources &Needs) const {
    return std::any_of(
        Unplaced.begin(), Unplaced.end(),
        [&](const resources &Other) { return Other.fitsIn(Needs); });
  }
  void add(const resources &Needs) { Unplaced.push_back(Needs); }

private:
  std::vector<resources> Unplaced;
};

/// Wakes the dispatcher when the team's rate of starts allows one more.
void setRateTimer(dispatcher_state &State, team_record &Team, instant Now) {
  const boot_time Next = Team.Limiter.nextStart();
  if (Next == boot_time::max() || Team.WakeAt > Now.Boot) {
    return;
  }
  Team.WakeAt = Next;
  setTimer(State, Next, timer_kind::Dispatch);
}

/// One pass over the queues.
struct dispatch_pass {
  dispatcher_state &State;
  instant Now;
  effects &Effects;
  unplaced_needs Unplaced;

  offer_result operator()(const std::string &Key, std::uint32_t Index) {
    job_record &Job = State.Jobs.at(Key);
    task_record &Task = Job.Tasks[Index];
    const resources &Needs = Task.Request.Needs;
    team_record &Team = State.Teams[Job.Team];
    if (const auto Limit = Team.Limiter.boundBy(Needs, Now.Boot)) {
      return onBound(Team, *Limit);
    }
    if (Unplaced.covers(Needs)) {
      return {offer_outcome::NoTarget};
    }
    target_record *Target = chooseTarget(State, Job, Task, Now);
    if (Target == nullptr) {
      return {onUnplaced(Task)};
    }
    return start(Job, Index, Team, *Target);
  }

private:
  offer_result onBound(team_record &Team, limit_kind Limit) {
    if (Limit == limit_kind::StartsPerSecond) {
      setRateTimer(State, Team, Now);
    }
    const bool DependsOnTask = Limit != limit_kind::StartsPerSecond &&
                               Limit != limit_kind::RunningTasks;
    return {DependsOnTask ? offer_outcome::NoTarget : offer_outcome::TeamBound};
  }

  offer_outcome onUnplaced(const task_record &Task) {
    // A retried task may be kept from targets that others can use.
    if (Task.Attempts != 0) {
      return offer_outcome::NoTarget;
    }
    const resources &Needs = Task.Request.Needs;
    Unplaced.add(Needs);
    const bool IsSmallest = Needs.fitsIn(State.SmallestNeeds);
    return IsSmallest ? offer_outcome::Stop : offer_outcome::NoTarget;
  }

  offer_result start(job_record &Job, std::uint32_t Index, team_record &Team,
                     target_record &Target) {
    const task_record &Task = Job.Tasks[Index];
    const microseconds Cost =
        State.RunTimes.expected(Job.Team, Job.Class, Task.Request.Expected);
    const resources &Needs = Task.Request.Needs;
    Team.Limiter.onStarted(Needs, Now.Boot);
    startAttempt(State, Job, Index, Target, Now, Effects).Charge = {
        Job.Team, Needs, Cost};
    return {offer_outcome::Started, Cost, Task.Request.Payload.size()};
  }
};
} // namespace

void enqueueTask(dispatcher_state &State, const job_record &Job,
                 std::uint32_t Task) {
  noteNeeds(State, Job, Task, Task + 1);
  State.Queues.requeue({Job.Key, Job.Team, Job.Rank, 1,
                        Job.Tasks[Task].Request.Payload.size(), Job.SureTime},
                       Task);
}

void enqueueJob(dispatcher_state &State, job_record &Job, instant Now) {
  const auto Tasks = static_cast<std::uint32_t>(Job.Tasks.size());
  noteNeeds(State, Job, 0, Tasks);
  const job_times Times = timesOf(State, Job);
  Job.Rank = rankOf(Times, Now);
  Job.SureTime = Times.SureTotal / std::max<std::uint32_t>(1, Tasks);
  State.Queues.push(
      {Job.Key, Job.Team, Job.Rank, Tasks, payloadBytes(Job), Job.SureTime});
}

void dispatchQueued(dispatcher_state &State, instant Now, effects &Effects) {
  State.Queues.serve(dispatch_pass{State, Now, Effects, {}});
}

void releaseCharge(dispatcher_state &State, const attempt_record &Attempt,
                   instant Now) {
  const team_charge &Charge = Attempt.Charge;
  State.Teams[Charge.Team].Limiter.onEnded(Charge.Needs);
  State.Queues.settle(Charge.Team, Charge.Cost, Now.Boot - Attempt.StartedAt);
}

} // namespace tarragonbridge
