#include "core/attempts_p.h"

#include "core/dispatch_p.h"
#include "core/health_p.h"
#include "core/jobs_p.h"
#include "core/placement_p.h"
#include "core/retries_p.h"
#include "tarragonbridge/config.h"

#include <utility>

namespace tarragonbridge {

namespace {
/// Everything that an action may need.
struct attempt_context {
  dispatcher_state &State;
  target_record &Target;
  const attempt_id &Id;
  const target_reply &Reply;
  instant Now;
  effects &Effects;
};

/// @returns the job that still waits for the attempt, or nullptr
job_record *findOpenJob(dispatcher_state &State, const attempt_id &Id) {
  const auto Found = State.Jobs.find(Id.Key);
  if (Found == State.Jobs.end() || Id.Task >= Found->second.Tasks.size()) {
    return nullptr;
  }
  const task_record &Task = Found->second.Tasks[Id.Task];
  const bool IsOpen =
      Task.Phase == task_phase::Running && Task.Attempts == Id.Attempt;
  return IsOpen ? &Found->second : nullptr;
}

attempt_rule ruleOf(const job_record *Job) {
  if (Job == nullptr) {
    return attempt_rule::Abandoned;
  }
  return Job->Repeatable ? attempt_rule::Repeatable : attempt_rule::Once;
}

void complete(const attempt_context &Context, job_record &Job) {
  task_record &Task = Job.Tasks[Context.Id.Task];
  Context.Effects.emplace_back(observe_time{time_metric::TaskAtTarget,
                                            Context.Now.Boot - Task.StartedAt});
  Task.Phase = task_phase::Settled;
  Task.Output = Context.Reply.Output;
  --Job.Unsettled;
  if (Job.Unsettled == 0) {
    completeJob(Context.State, Job, Context.Now, Context.Effects);
  }
}

void fail(const attempt_context &Context, job_record &Job, reason Reason,
          bool OutcomeKnown) {
  failJob(Context.State, Job,
          {Reason, OutcomeKnown, false, "run task", Context.Target.Host.Name,
           Context.Reply.Message},
          Context.Now, Context.Effects);
}

void retryEnded(const attempt_context &Context, job_record &Job,
                attempt_input Input) {
  task_record &Task = Job.Tasks[Context.Id.Task];
  Task.Phase = task_phase::Settled;
  if (takeRetry(Context.State, Job, Task)) {
    retryLater(Context.State, Job, Context.Id.Task, Context.Now);
    return;
  }
  const bool IsKnown = Input == attempt_input::Failed;
  fail(Context, Job, IsKnown ? reason::TaskFailed : reason::RetriesExhausted,
       IsKnown);
}

/// Frees what an attempt that has ended held.
void releaseAttempt(dispatcher_state &State, target_record &Target,
                    std::map<attempt_id, attempt_record>::iterator Attempt,
                    attempt_input Input, instant Now) {
  const attempt_record &Ended = Attempt->second;
  if (Input != attempt_input::NotRun) {
    Target.Refusals = 0;
    if (Ended.IsProbe) {
      Target.Window.onProbeTaken();
    }
  }
  Target.Used.Cores -= Ended.Needs.Cores;
  Target.Used.MemoryMb -= Ended.Needs.MemoryMb;
  Target.Used.Accelerators -= Ended.Needs.Accelerators;
  releaseCharge(State, Ended, Now);
  Target.Running.erase(Attempt);
  --State.RunningTasks;
  refreshTarget(State, Target, Now.Boot);
}

void act(const attempt_context &Context, job_record &Job, attempt_action Action,
         attempt_input Input) {
  task_record &Task = Job.Tasks[Context.Id.Task];
  switch (Action) {
  case attempt_action::None:
  case attempt_action::Stop:
    return;
  case attempt_action::Complete:
    complete(Context, Job);
    return;
  case attempt_action::Requeue:
    requeueNotRun(Context.State, Job, Context.Id.Task, Context.Now);
    return;
  case attempt_action::Retry:
    retryEnded(Context, Job, Input);
    return;
  case attempt_action::FailTask:
    Task.Phase = task_phase::Settled;
    fail(Context, Job, reason::TaskFailed, true);
    return;
  case attempt_action::FailUnknown:
    // The attempt may still be out: failing the job stops it.
    fail(Context, Job, reason::OutcomeUnknown, false);
    return;
  }
}

attempt_input inputOf(reply_kind Kind) {
  switch (Kind) {
  case reply_kind::Done:
    return attempt_input::Done;
  case reply_kind::Failed:
    return attempt_input::Failed;
  case reply_kind::NotRun:
    return attempt_input::NotRun;
  case reply_kind::Unknown:
    break;
  }
  return attempt_input::ReplyLost;
}
/// Counts an attempt at its target.
attempt_record &occupySlot(dispatcher_state &State, target_record &Target,
                           const attempt_id &Id, const resources &Needs,
                           instant Now) {
  attempt_record Attempt{Now.Boot, Needs};
  Attempt.IsProbe = Target.Window.onStart(Target.Running.size() + 1, Now.Boot);
  attempt_record &Added = Target.Running.emplace(Id, Attempt).first->second;
  Target.Used.Cores += Needs.Cores;
  Target.Used.MemoryMb += Needs.MemoryMb;
  Target.Used.Accelerators += Needs.Accelerators;
  refreshTarget(State, Target, Now.Boot);
  return Added;
}
} // namespace

void applyInput(dispatcher_state &State, target_record &Target,
                const attempt_id &Id, attempt_input Input,
                const target_reply &Reply, instant Now, effects &Effects) {
  const auto Found = Target.Running.find(Id);
  if (Found == Target.Running.end()) {
    State.Figures.Reasons.add(reason::LateReply);
    return;
  }
  job_record *Job = findOpenJob(State, Id);
  const attempt_row &Row = findRow(attemptTable(), Found->second.State, Input);
  const attempt_cell Cell = Row.Cells.at(static_cast<std::size_t>(ruleOf(Job)));
  const bool HasEffect =
      Cell.Next != Found->second.State || Cell.Action != attempt_action::None;
  if (HasEffect && Row.Reason != reason::Count) {
    State.Figures.Reasons.add(Row.Reason);
  }
  const attempt_context Context{State, Target, Id, Reply, Now, Effects};
  const bool WasUndisturbed = Found->second.State == attempt_state::Sent;
  Found->second.State = Cell.Next;
  if (Input == attempt_input::Done && Job != nullptr) {
    learnFromFinished(State, *Job, Job->Tasks[Id.Task], Target,
                      Now.Boot - Found->second.StartedAt);
  }
  if (WasUndisturbed && Job != nullptr) {
    noteAttemptEnd(State, Target, Id.Key, Input, Now);
  }
  if (Cell.Action == attempt_action::Stop) {
    sendStop(Target, Id, Found->second, Effects);
  }
  if (Cell.Next == attempt_state::Settled) {
    releaseAttempt(State, Target, Found, Input, Now);
  }
  if (Job != nullptr) {
    act(Context, *Job, Cell.Action, Input);
  }
}

attempt_record &startAttempt(dispatcher_state &State, job_record &Job,
                             std::uint32_t Index, target_record &Target,
                             instant Now, effects &Effects) {
  task_record &Task = Job.Tasks[Index];
  ++Task.Attempts;
  Task.Phase = task_phase::Running;
  Task.StartedAt = Now.Boot;
  Effects.emplace_back(
      observe_time{time_metric::TaskQueueing, Now.Boot - Task.QueuedAt});
  Task.Target = Target.Host.Name;
  const attempt_id Id{Job.Key, Index, Task.Attempts};
  attempt_record &Attempt =
      occupySlot(State, Target, Id, Task.Request.Needs, Now);
  ++State.RunningTasks;
  ++State.Figures.TasksStarted;
  earnRetries(State, Job, Task, Target);
  if (!State.LeaseTimerSet) {
    State.LeaseTimerSet = true;
    setTimer(State, Now.Boot + config::LeaseRenewInterval,
             timer_kind::RenewLeases);
  }
  const auto Left = std::chrono::ceil<milliseconds>(Job.Deadline - Now.Boot);
  Effects.emplace_back(start_task{Task.Target, Id, Target.Host.Address,
                                  config::TaskLease, Left + config::TaskLease,
                                  Task.Request.Payload, Task.Request.Needs});
  return Attempt;
}

void sendStop(target_record &Target, const attempt_id &Id,
              attempt_record &Attempt, effects &Effects) {
  if (Attempt.StopOut) {
    return;
  }
  Attempt.StopOut = true;
  Effects.emplace_back(stop_task{Target.Host.Name, Id, Target.Host.Address});
}

void requestStop(dispatcher_state &State, const job_record &Job,
                 std::uint32_t Index, effects &Effects) {
  const task_record &Task = Job.Tasks[Index];
  const auto Target = State.Targets.find(Task.Target);
  if (Target == State.Targets.end()) {
    return;
  }
  const attempt_id Id{Job.Key, Index, Task.Attempts};
  const auto Attempt = Target->second.Running.find(Id);
  if (Attempt != Target->second.Running.end()) {
    sendStop(Target->second, Id, Attempt->second, Effects);
  }
}

void onTaskReplied(dispatcher_state &State, const task_replied &Event,
                   instant Now, effects &Effects) {
  ++State.Figures.TaskReplies;
  const auto Target = State.Targets.find(Event.Target);
  if (Target == State.Targets.end()) {
    State.Figures.Reasons.add(reason::LateReply);
    return;
  }
  const bool IsRefusal = Event.Reply.Kind == reply_kind::NotRun;
  if (IsRefusal && Target->second.Running.contains(Event.Id)) {
    noteRefusal(State, Target->second, Event.Reply.Reason, Now);
  }
  applyInput(State, Target->second, Event.Id, inputOf(Event.Reply.Kind),
             Event.Reply, Now, Effects);
  dispatchQueued(State, Now, Effects);
}

void onStopAnswered(dispatcher_state &State, const stop_answered &Event,
                    instant Now, effects &Effects) {
  const auto Target = State.Targets.find(Event.Target);
  if (Target == State.Targets.end()) {
    return;
  }
  const auto Found = Target->second.Running.find(Event.Id);
  if (Found == Target->second.Running.end()) {
    return; // the attempt's own reply came first
  }
  attempt_record &Attempt = Found->second;
  Attempt.StopOut = false;
  const auto Apply = [&](attempt_input Input) {
    applyInput(State, Target->second, Event.Id, Input, {}, Now, Effects);
  };
  switch (Event.Result) {
  case stop_result::Stopped:
    Apply(attempt_input::Stopped);
    break;
  case stop_result::Ended:
    Attempt.HeardAt = Now.Boot; // the reply gets a lease's time to arrive
    Apply(attempt_input::HadEnded);
    break;
  case stop_result::Unseen:
    Attempt.HeardAt = Now.Boot;
    Apply(attempt_input::Unseen);
    break;
  case stop_result::ProcessGone:
    // From now on the start can't arrive any more: the lease, if any, runs out.
    Attempt.HeardAt = Attempt.Received ? Attempt.HeardAt : Now.Boot;
    Attempt.Received = true;
    break;
  case stop_result::Unanswered:
    State.Figures.Reasons.add(reason::StopUnanswered);
    break;
  }
  dispatchQueued(State, Now, Effects);
}

void onRetryDue(dispatcher_state &State, const std::string &Key,
                std::uint32_t Task, instant Now) {
  const auto Found = State.Jobs.find(Key);
  if (Found == State.Jobs.end() ||
      Found->second.Tasks[Task].Phase != task_phase::BackingOff) {
    return;
  }
  Found->second.Tasks[Task].Phase = task_phase::Queued;
  Found->second.Tasks[Task].QueuedAt = Now.Boot;
  enqueueTask(State, Found->second, Task);
}

} // namespace tarragonbridge
