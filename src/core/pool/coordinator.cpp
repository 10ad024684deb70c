#include "core/pool/crashes_p.h"
#include "core/pool/job_completion_p.h"
#include "core/pool/job_offers_p.h"
#include "core/pool/resubmissions_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::pool {

namespace {

/// Refused offers are counted, not logged: a task may have several.
void logTaskRescheduled(const reducer_context &Ctx, const open_job &Job,
                        const job_task &Task, const task_ended &Ended) {
  Ctx.log("task_placed_again",
          {{"job", Job.Id},
           {"step", std::to_string(Task.Step)},
           {"task", std::to_string(Task.Index)},
           {"run", std::to_string(Task.AttemptNumber)},
           {"target", Ended.Target},
           {"owner", Task.Owner.Name},
           {"reason", std::string(nameOf(Ended.Outcome))}});
}

/// Places a task again after its offer was refused or its attempt ended
/// without success.
void rescheduleTask(reducer_context &Ctx, open_job &Job, job_task &Task) {
  Task.Phase = task_phase::Unplaced;
  if (Job.Withdrawal) {
    Ctx.count(Job.Withdrawal->Counter);
    abandonJob(Ctx, std::string(Job.Id), Job.Withdrawal->Reason);
    return;
  }
  pool_view View = makePoolView(Ctx.State, Ctx.Now);
  const auto Placement =
      placeTask(View, {Job.Route.Service, Task.RequiredResources,
                       expectedRunTimeOf(Ctx.State, Job, Task),
                       until(Job.ObjectiveDeadline, Ctx.Now), Task.AvoidTarget,
                       isSuspect(Task)});
  if (!Placement || Task.Rejections >= config::MaxOfferRejections ||
      Job.ExpiresAt <= Ctx.Now) {
    abandonJob(Ctx, Job.Id, Placement ? "no_room" : "no_owner");
    return;
  }
  offers_by_owner Offers;
  addToOffer(Ctx, Job, Task, View, *Placement, Offers);
  sendOffers(Ctx, std::move(Offers));
}

/// Places the tasks that may be placed now.
void placeUnplaced(reducer_context &Ctx, const std::string &Id) {
  open_job &Job = Ctx.State.Coordinator.Jobs.find(Id)->second;
  for (job_task *Task : tasksToPlace(Job)) {
    rescheduleTask(Ctx, Job, *Task);
    if (!Ctx.State.Coordinator.Jobs.contains(Id)) {
      return;
    }
  }
}

/// Gives a job up if several targets crashed under a task of it. @returns
/// whether it did
bool giveUpAfterCrashes(reducer_context &Ctx, open_job &Job,
                        const std::string &Target) {
  if (verdictOn(Job) != crash_verdict::GiveUp) {
    return false;
  }
  Ctx.count(counter::GivenUpCrashes);
  failJob(Ctx, std::string(Job.Id), response_kind::JobFailed, "targets_crashed",
          Target);
  return true;
}

/// Holds a task under which several targets may have crashed.
void holdTask(reducer_context &Ctx, const open_job &Job, job_task &Task,
              const std::string &Target) {
  Task.HeldSince = Ctx.Now;
  Ctx.count(counter::TasksHeld);
  Ctx.log("task_held", {{"job", Job.Id},
                        {"step", std::to_string(Task.Step)},
                        {"task", std::to_string(Task.Index)},
                        {"run", std::to_string(Task.AttemptNumber)},
                        {"target", Target}});
}

job_task *findTask(open_job &Job, const attempt_ref &Attempt) {
  for (job_task &Task : Job.Tasks) {
    if (Task.Step == Attempt.Step && Task.Index == Attempt.Task) {
      return Task.AttemptNumber == Attempt.AttemptNumber &&
                     Task.Phase == task_phase::Offered
                 ? &Task
                 : nullptr;
    }
  }
  return nullptr;
}

} // namespace

void reviewHeldJobs(reducer_context &Ctx) {
  std::vector<std::string> Reviewed;
  for (auto &[Id, Job] : Ctx.State.Coordinator.Jobs) {
    if (reviewHeldTasks(Ctx.State, Job, Ctx.Now) ||
        verdictOn(Job) == crash_verdict::GiveUp) {
      Reviewed.push_back(Id);
    }
  }
  for (const std::string &Id : Reviewed) {
    open_job &Job = Ctx.State.Coordinator.Jobs.find(Id)->second;
    if (!giveUpAfterCrashes(Ctx, Job, "")) {
      placeUnplaced(Ctx, Id);
    }
  }
}

void detachCaller(reducer_context &Ctx,
                  const caller_disconnected &Disconnected) {
  coordinator_state &Coordinator = Ctx.State.Coordinator;
  const auto Found = Coordinator.JobIdByRequest.find(
      static_cast<std::uint64_t>(Disconnected.Request));
  if (Found == Coordinator.JobIdByRequest.end()) {
    return;
  }
  const std::string Id = Found->second;
  Coordinator.JobIdByRequest.erase(Found);
  open_job &Job = Coordinator.Jobs.find(Id)->second;
  std::erase(Job.Requests, Disconnected.Request);
  if (Job.Requests.empty()) {
    Ctx.count(counter::CallersLeft);
    finishJob(Ctx, Id, response_kind::JobAbandoned);
  }
}

namespace {
/// Sets a host's known free capacity to none: its refusal shows that the state
/// received from it is out of date.
void recordNoCapacity(pool_state &State, const host_ref &Host,
                      milliseconds Wait) {
  const auto Peer = State.Peers.find(Host.Name);
  if (Peer == State.Peers.end()) {
    return;
  }
  for (target_free_capacity &Capacity : Peer->second.State.Targets) {
    Capacity.Free = {};
  }
  Peer->second.State.PredictedQueueWait =
      std::max(Peer->second.State.PredictedQueueWait, Wait);
}
} // namespace

void handleOfferRefused(reducer_context &Ctx, const host_ref &From,
                        const offer_refused &Refused) {
  recordNoCapacity(Ctx.State, From, Refused.PredictedQueueWait);
  for (const attempt_ref &Attempt : Refused.Attempts) {
    noteEndedAttempt(Ctx, Attempt);
    const auto Found = Ctx.State.Coordinator.Jobs.find(Attempt.Job);
    if (Found == Ctx.State.Coordinator.Jobs.end()) {
      continue;
    }
    if (job_task *Task = findTask(Found->second, Attempt)) {
      ++Task->Rejections;
      rescheduleTask(Ctx, Found->second, *Task);
    }
  }
}

void handleTaskEnded(reducer_context &Ctx, const task_ended &Ended) {
  coordinator_state &Coordinator = Ctx.State.Coordinator;
  noteEndedAttempt(Ctx, Ended.Attempt);
  const auto Found = Coordinator.Jobs.find(Ended.Attempt.Job);
  if (Found == Coordinator.Jobs.end()) {
    return;
  }
  open_job &Job = Found->second;
  job_task *Task = findTask(Job, Ended.Attempt);
  if (Task == nullptr) {
    return;
  }
  Job.MayHaveRun =
      Job.MayHaveRun || Ended.Outcome != attempt_outcome::NotStarted;
  if (Ended.Outcome == attempt_outcome::Done) {
    Task->Phase = task_phase::Done;
    const bool IsDone = std::all_of(
        Job.Tasks.begin(), Job.Tasks.end(),
        [](const job_task &Other) { return Other.Phase == task_phase::Done; });
    if (IsDone) {
      completeJob(Ctx, Job);
    } else {
      placeUnplaced(Ctx, Ended.Attempt.Job);
    }
    return;
  }
  if (Ended.Outcome != attempt_outcome::NotStarted) {
    Task->AvoidTarget = Ended.Target;
  }
  Task->Phase = task_phase::Unplaced;
  if (Ended.Outcome == attempt_outcome::Failed &&
      ++Task->Failures >= Job.Route.MaxAttempts) {
    Ctx.count(counter::GivenUpAttempts);
    failJob(Ctx, Ended.Attempt.Job, response_kind::JobFailed, "attempts_failed",
            Ended.Target);
    return;
  }
  Task->Rejections = 0;
  countCrash(*Task, Ended.Outcome);
  if (giveUpAfterCrashes(Ctx, Job, Ended.Target)) {
    return;
  }
  if (verdictOn(*Task) == crash_verdict::Unclear) {
    holdTask(Ctx, Job, *Task, Ended.Target);
    return;
  }
  logTaskRescheduled(Ctx, Job, *Task, Ended);
  placeUnplaced(Ctx, Ended.Attempt.Job);
}

void handleReassignment(reducer_context &Ctx, const host_ref &From,
                        const attempts_reassigned &Reassigned) {
  for (const attempt_ref &Attempt : Reassigned.Attempts) {
    const auto Found = Ctx.State.Coordinator.Jobs.find(Attempt.Job);
    job_task *Task = Found == Ctx.State.Coordinator.Jobs.end()
                         ? nullptr
                         : findTask(Found->second, Attempt);
    if (Task == nullptr || Found->second.Withdrawal) {
      // The task ended or was cancelled while it was being reassigned.
      sendMessage(Ctx, From, tasks_cancelled{{Attempt}});
      continue;
    }
    const bool IsLate =
        Reassigned.Token != 0 && Reassigned.Token < Task->OwnerToken;
    if (IsLate) {
      continue; // the target has a later owner
    }
    Task->Owner = From;
    Task->OwnerToken = std::max(Task->OwnerToken, Reassigned.Token);
  }
}

} // namespace tarragonbridge::pool
