#include "core/attempts_p.h"

#include "core/dispatch_p.h"
#include "core/jobs_p.h"
#include "tarragonbridge/config.h"

namespace tarragonbridge {

namespace {
/// Forgets an attempt at its target.
void releaseAttempt(dispatcher_state &State, const std::string &Name,
                    const attempt_id &Id, instant Now) {
  const auto Target = State.Targets.find(Name);
  if (Target != State.Targets.end() && Target->second.Running.erase(Id) != 0) {
    --State.RunningTasks;
    releaseCharge(State, Id, Now);
  }
}

/// @returns the job and task that an attempt belongs to, if they still wait for
/// it
task_record *findOpenTask(dispatcher_state &State, const attempt_id &Id) {
  const auto Found = State.Jobs.find(Id.Key);
  if (Found == State.Jobs.end() || Id.Task >= Found->second.Tasks.size()) {
    return nullptr;
  }
  task_record &Task = Found->second.Tasks[Id.Task];
  const bool IsOpen =
      Task.Phase == task_phase::Running && Task.Attempts == Id.Attempt;
  return IsOpen ? &Task : nullptr;
}

void onDone(dispatcher_state &State, job_record &Job, task_record &Task,
            const target_reply &Reply, instant Now, effects &Effects) {
  Effects.emplace_back(
      observe_time{time_metric::TaskAtTarget, Now.Boot - Task.StartedAt});
  Task.Phase = task_phase::Settled;
  Task.Output = Reply.Output;
  --Job.Unsettled;
  if (Job.Unsettled == 0) {
    completeJob(State, Job, Now, Effects);
  }
}

void onNotRun(dispatcher_state &State, job_record &Job, const attempt_id &Id,
              const target_reply &Reply, instant Now) {
  task_record &Task = Job.Tasks[Id.Task];
  State.Figures.Reasons.add(Reply.Reason);
  ++Task.Refusals;
  target_record &Target = State.Targets.at(Task.Target);
  Target.FullUntil = Now.Boot + config::RefusalBackoff;
  if (Reply.Reason == reason::TargetLeaving) {
    Target.Host.State = host_state::Leaving;
  }
  setTimer(State, Target.FullUntil, timer_kind::Dispatch);
  Task.Phase = task_phase::Queued;
  Task.QueuedAt = Now.Boot;
  enqueueTask(State, Job, Id.Task, Now);
}
} // namespace

void startAttempt(dispatcher_state &State, job_record &Job, std::uint32_t Index,
                  target_record &Target, instant Now, effects &Effects) {
  task_record &Task = Job.Tasks[Index];
  ++Task.Attempts;
  Task.Phase = task_phase::Running;
  Task.StartedAt = Now.Boot;
  Effects.emplace_back(
      observe_time{time_metric::TaskQueueing, Now.Boot - Task.QueuedAt});
  Task.Target = Target.Host.Name;
  const attempt_id Id{Job.Key, Index, Task.Attempts};
  Target.Running.insert(Id);
  ++State.RunningTasks;
  ++State.Figures.TasksStarted;
  if (!State.LeaseTimerSet) {
    State.LeaseTimerSet = true;
    setTimer(State, Now.Boot + config::LeaseRenewInterval,
             timer_kind::RenewLeases);
  }
  const auto Left = std::chrono::ceil<milliseconds>(Job.Deadline - Now.Boot);
  Effects.emplace_back(start_task{Task.Target, Id, Target.Host.Address,
                                  config::TaskLease, Left + config::TaskLease,
                                  Task.Request.Payload, Task.Request.Needs});
}

void requestStop(dispatcher_state &State, const job_record &Job,
                 std::uint32_t Index, effects &Effects) {
  const task_record &Task = Job.Tasks[Index];
  const auto Target = State.Targets.find(Task.Target);
  if (Target == State.Targets.end()) {
    return;
  }
  Effects.emplace_back(
      stop_task{{Job.Key, Index, Task.Attempts}, Target->second.Host.Address});
}

void onTaskReplied(dispatcher_state &State, const task_replied &Event,
                   instant Now, effects &Effects) {
  ++State.Figures.TaskReplies;
  task_record *Task = findOpenTask(State, Event.Id);
  releaseAttempt(State, Event.Target, Event.Id, Now);
  if (Task == nullptr) {
    State.Figures.Reasons.add(reason::LateReply);
    dispatchQueued(State, Now, Effects);
    return;
  }
  job_record &Job = State.Jobs.at(Event.Id.Key);
  const std::string Peer = Task->Target;
  switch (Event.Reply.Kind) {
  case reply_kind::Done:
    onDone(State, Job, *Task, Event.Reply, Now, Effects);
    break;
  case reply_kind::NotRun:
    onNotRun(State, Job, Event.Id, Event.Reply, Now);
    break;
  case reply_kind::Failed:
    Task->Phase = task_phase::Settled;
    failJob(State, Job,
            {reason::TaskFailed, true, false, "run task", Peer,
             Event.Reply.Message},
            Now, Effects);
    break;
  case reply_kind::Unknown:
    Task->Phase = task_phase::Settled;
    failJob(State, Job,
            {reason::OutcomeUnknown, false, false, "run task", Peer,
             Event.Reply.Message},
            Now, Effects);
    break;
  }
  dispatchQueued(State, Now, Effects);
}

void onLeasesAnswered(dispatcher_state &State, const leases_answered &Event) {
  // The reply to the attempt itself tells the end; this only counts.
  for (std::size_t Index = 0; Index < Event.Lapsed.size(); ++Index) {
    State.Figures.Reasons.add(reason::TargetLapsed);
  }
}

void onRenewLeases(dispatcher_state &State, instant Now, effects &Effects) {
  State.LeaseTimerSet = false;
  for (const auto &[Name, Target] : State.Targets) {
    if (Target.Running.empty()) {
      continue;
    }
    Effects.emplace_back(
        renew_leases{Name,
                     Target.Host.Address,
                     config::TaskLease,
                     {Target.Running.begin(), Target.Running.end()}});
    State.LeaseTimerSet = true;
  }
  if (State.LeaseTimerSet) {
    setTimer(State, Now.Boot + config::LeaseRenewInterval,
             timer_kind::RenewLeases);
  }
}

} // namespace tarragonbridge
