#include "core/pool/crashes_p.h"
#include "core/pool/load/displacement_p.h"
#include "core/pool/owner_capacity_p.h"
#include "core/pool/target_feedback_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::pool {

namespace {
/// Queued tasks that one scan examines.
constexpr std::size_t MaxScannedTasks = 64;
/// Reported as the predicted queue wait while no target gets new attempts.
constexpr milliseconds NoTargetsWait{1'000};

/// @returns the latest start that meets the objective at speed 1
boot_time latestStartOf(const queued_task &Task) {
  return Task.ObjectiveDeadline - Task.ExpectedRunTime;
}

void enqueue(owner_state &Owner, queued_task Task) {
  const auto Position =
      std::upper_bound(Owner.Queue.begin(), Owner.Queue.end(), Task,
                       [](const queued_task &A, const queued_task &B) {
                         return latestStartOf(A) < latestStartOf(B);
                       });
  Owner.Queue.insert(Position, std::move(Task));
  Owner.QueueScanDue = true;
}

bool isSameTask(const attempt_ref &A, const attempt_ref &B) {
  return A.Job == B.Job && A.Step == B.Step && A.Task == B.Task;
}

/// @returns whether any attempt at a task is queued, runs or may run here
bool hasTask(const owner_state &Owner, const attempt_ref &Attempt) {
  const bool IsQueued = std::any_of(Owner.Queue.begin(), Owner.Queue.end(),
                                    [&](const queued_task &Task) {
                                      return isSameTask(Task.Attempt, Attempt);
                                    });
  if (IsQueued) {
    return true;
  }
  const attempt_ref First{Attempt.Job, Attempt.Step, Attempt.Task, 0};
  for (const auto &[Id, OwnedTarget] : Owner.OwnedTargets) {
    const auto Found = OwnedTarget.attempts().lower_bound(First);
    if (Found != OwnedTarget.attempts().end() &&
        isSameTask(Found->first, Attempt)) {
      return true;
    }
  }
  return false;
}

/// @returns whether a target is the only one that this host owns
bool ownsOnly(const owner_state &Owner, const std::string &Target) {
  return Owner.OwnedTargets.size() == 1 && Owner.OwnedTargets.contains(Target);
}

void refuseTasks(reducer_context &Ctx, const host_ref &Coordinator,
                 std::vector<attempt_ref> Tasks) {
  if (!Tasks.empty()) {
    Ctx.count(counter::OffersRefused, Tasks.size());
    const auto QueueWait = predictQueueWait(Ctx.State, Ctx.Now);
    sendMessage(
        Ctx, Coordinator,
        offer_refused{std::move(Tasks), QueueWait.value_or(NoTargetsWait)});
  }
}

/// Moves the tasks that can't meet their objective any more behind those that
/// can.
void sortByFeasibility(std::vector<queued_task> &Queue, const pool_view &View,
                       boot_time Now) {
  double Fastest = config::MinSpeed;
  for (const available_target &Free : View.FreeTargets) {
    Fastest = std::max(Fastest, Free.Speed);
  }
  std::stable_partition(Queue.begin(), Queue.end(),
                        [&](const queued_task &Task) {
                          return Now + runTime(Task.ExpectedRunTime, Fastest) <=
                                 Task.ObjectiveDeadline;
                        });
}

/// @returns whether a coordinator has timed out, so that nobody waits for its
/// tasks. This host's own jobs are withdrawn instead.
bool isOrphan(const pool_state &State, const host_ref &Coordinator,
              boot_time Now) {
  return State.Init.Rules.StopOrphans && !isSelf(State, Coordinator) &&
         (!hostReceivedWithin(State, Coordinator, Now,
                              config::CoordinatorTimeout) ||
          lastAliveAt(State, Coordinator, Now) +
                  config::CoordinatorProofTimeout <
              Now);
}

/// Chooses a target on which a queued task may be started now.
std::optional<placement> placeStartable(const reducer_context &Ctx,
                                        pool_view &View,
                                        std::vector<busy_target> &Busy,
                                        const queued_task &Task,
                                        const ownership_context &Context) {
  constexpr resource_vector FitsNothing{-1, -1, -1};
  const placement_request Request{
      Task.Service,         Task.RequiredResources,
      Task.ExpectedRunTime, until(Task.ObjectiveDeadline, Ctx.Now),
      Task.AvoidTarget,     Task.RunsAlone};
  std::vector<std::pair<available_target *, resource_vector>> Excluded;
  std::optional<placement> Placing = placeQueued(View, Busy, Request);
  while (Placing && !Ctx.State.Owner.OwnedTargets.find(Placing->Target)
                         ->second.canStartFor(Task.Coordinator, Context)) {
    available_target &Target =
        *std::find_if(View.FreeTargets.begin(), View.FreeTargets.end(),
                      [&](const available_target &Free) {
                        return Free.Target == Placing->Target;
                      });
    Target.Free += Task.RequiredResources;
    Excluded.emplace_back(&Target, std::exchange(Target.Free, FitsNothing));
    Placing = placeQueued(View, Busy, Request);
  }
  for (auto &[Target, Free] : Excluded) {
    Target->Free = Free;
  }
  return Placing;
}

/// Starts queued tasks as far as free capacity allows, the most urgent first.
void startQueued(reducer_context &Ctx) {
  owner_state &Owner = Ctx.State.Owner;
  const bool IsScanDue =
      Owner.QueueScanDue ||
      Owner.QueueScannedAt + config::QueueScanInterval <= Ctx.Now;
  if (Owner.Queue.empty() || !IsScanDue ||
      !areEvacuationsKnown(Ctx.State, Ctx.Now)) {
    return;
  }
  Owner.QueueScanDue = false;
  Owner.QueueScannedAt = Ctx.Now;
  ownership_context Context = Ctx.ownershipContext();
  pool_view View = ownCapacity(Ctx.State, Ctx.Now);
  std::vector<busy_target> Busy = busyTargets(Ctx.State, Ctx.Now);
  sortByFeasibility(Owner.Queue, View, Ctx.Now);
  std::vector<queued_task> Unstarted;
  std::size_t Scanned = 0;
  for (queued_task &Task : Owner.Queue) {
    if (++Scanned > MaxScannedTasks) {
      Unstarted.push_back(std::move(Task));
      continue;
    }
    if (isOrphan(Ctx.State, Task.Coordinator, Ctx.Now)) {
      Ctx.count(counter::OrphansDropped);
      continue;
    }
    if (Task.ExpiresAt <= Ctx.Now) {
      refuseTasks(Ctx, Task.Coordinator, {Task.Attempt});
      continue;
    }
    const auto Placing = placeStartable(Ctx, View, Busy, Task, Context);
    if (!Placing) {
      Unstarted.push_back(std::move(Task));
      continue;
    }
    Owner.CapacityChanged = true;
    Ctx.observe(time_metric::TaskQueueing, Task.QueuedAt);
    const milliseconds ProbeAfter =
        config::ProbeMargin +
        std::chrono::duration_cast<milliseconds>(
            config::ProbeFactor *
            runTime(Task.ExpectedRunTime, speedOf(Ctx.State, Placing->Target)));
    Owner.OwnedTargets.find(Placing->Target)
        ->second.start(std::move(Task), ProbeAfter, Context);
  }
  std::stable_sort(Unstarted.begin(), Unstarted.end(),
                   [](const queued_task &A, const queued_task &B) {
                     return latestStartOf(A) < latestStartOf(B);
                   });
  Owner.Queue = std::move(Unstarted);
}

/// Refuses the tasks that could not be started and would miss their objective
/// here, unless they were offered to be queued.
void refuseUnstarted(reducer_context &Ctx) {
  auto &Queue = Ctx.State.Owner.Queue;
  if (std::all_of(Queue.begin(), Queue.end(),
                  [](const queued_task &Task) { return Task.MayQueue; })) {
    return;
  }
  const auto QueueWait = predictQueueWait(Ctx.State, Ctx.Now);
  const double Speed = meanSpeed(Ctx.State, Ctx.Now);
  std::erase_if(Queue, [&](queued_task &Task) {
    if (Task.MayQueue) {
      return false;
    }
    const auto TimeAllowed = std::chrono::duration_cast<milliseconds>(
        config::QueueAdmissionFactor * until(Task.ObjectiveDeadline, Ctx.Now));
    if (QueueWait &&
        *QueueWait + runTime(Task.ExpectedRunTime, Speed) <= TimeAllowed) {
      Task.MayQueue = true;
      return false;
    }
    refuseTasks(Ctx, Task.Coordinator, {Task.Attempt});
    return true;
  });
}

/// Refuses the whole queue of a host that owns no target any more, or only
/// evacuated ones.
void refuseAll(reducer_context &Ctx) {
  for (const queued_task &Task : std::exchange(Ctx.State.Owner.Queue, {})) {
    refuseTasks(Ctx, Task.Coordinator, {Task.Attempt});
  }
}

/// Queues a task. A full queue turns away what costs callers least, which may
/// be this task.
void acceptTask(reducer_context &Ctx, queued_task Task) {
  owner_state &Owner = Ctx.State.Owner;
  if (Owner.Queue.size() < config::MaxQueuedTasks) {
    enqueue(Owner, std::move(Task));
    return;
  }
  const auto Displaced = findDisplaced(
      Owner.Queue, Task, fastestSpeed(Ctx.State, Ctx.Now), Ctx.Now);
  if (!Displaced) {
    refuseTasks(Ctx, Task.Coordinator, {Task.Attempt});
    return;
  }
  const auto Position =
      Owner.Queue.begin() + static_cast<std::ptrdiff_t>(*Displaced);
  const queued_task Least = std::move(*Position);
  Owner.Queue.erase(Position);
  Ctx.count(counter::TasksDisplaced);
  enqueue(Owner, std::move(Task));
  refuseTasks(Ctx, Least.Coordinator, {Least.Attempt});
}

counter counterOf(attempt_outcome End) {
  switch (End) {
  case attempt_outcome::Done:
    return counter::EndsDone;
  case attempt_outcome::Failed:
    return counter::EndsFailed;
  case attempt_outcome::Stopped:
    return counter::EndsStopped;
  case attempt_outcome::Lost:
  case attempt_outcome::Vanished:
    return counter::EndsLost;
  case attempt_outcome::Crashed:
    return counter::EndsCrashed;
  case attempt_outcome::NotStarted:
    break;
  }
  return counter::EndsNotStarted;
}

void reportOutcome(reducer_context &Ctx, const std::string &Target,
                   ended_attempt &&Ended) {
  pool_state &State = Ctx.State;
  State.Owner.markCapacityChanged();
  recordCrash(Ctx, Target, Ended);
  Ctx.count(counterOf(Ended.Outcome));
  recordHealth(Ctx, Target, Ended);

  if (Ended.Outcome == attempt_outcome::Done) {
    Ctx.observe(time_metric::TaskAtTarget, Ctx.Now - Ended.RunTime);
  }
  if (Ended.Outcome == attempt_outcome::Done && Ended.IsRunTimeExact) {
    const auto Listed = State.Targets.find(Target);
    if (Listed != State.Targets.end()) {
      Listed->second.Speed.addSample(Ended.Task.ExpectedRunTime, Ended.RunTime);
      Listed->second.SpeedMeasuredAt = Ctx.Now;
    }
  }
  if (Ended.CanRequeue && Ended.Task.Specification) {
    enqueue(State.Owner, std::move(Ended.Task));
    return;
  }
  sendMessage(
      Ctx, Ended.Task.Coordinator,
      task_ended{Ended.Task.Attempt, Ended.Outcome, Target, Ended.RunTime});
}

} // namespace

void handleOffer(reducer_context &Ctx, const host_ref &From,
                 task_offer &&Offer) {
  owner_state &Owner = Ctx.State.Owner;
  const auto Specification =
      std::make_shared<const std::string>(std::move(Offer.Specification));
  std::vector<attempt_ref> Refused;
  for (offered_task &Offered : Offer.Tasks) {
    queued_task Task;
    Task.Attempt = {Offer.Job, Offered.Step, Offered.Task,
                    Offered.AttemptNumber};
    if (Ctx.State.IsShuttingDown || Owner.OwnedTargets.empty() ||
        Owner.Cancelled.contains({From, Task.Attempt}) ||
        ownsOnly(Owner, Offered.AvoidTarget) || hasTask(Owner, Task.Attempt)) {
      Refused.push_back(std::move(Task.Attempt));
      continue;
    }
    Task.Coordinator = From;
    Task.QueuedAt = Ctx.Now;
    Task.Service = Offer.Service;
    Task.Priority = Offer.Priority;
    Task.RequiredResources = Offered.RequiredResources;
    Task.ExpectedRunTime = std::max(Offered.ExpectedRunTime, milliseconds(1));
    Task.ObjectiveDeadline = Ctx.Now + Offered.ObjectiveDeadline;
    Task.ExpiresAt = Ctx.Now + Offered.ExpiresIn;
    Task.AvoidTarget = std::move(Offered.AvoidTarget);
    Task.Specification = Specification;
    Task.MayQueue = Offered.MayQueue;
    Task.RunsAlone = Offered.RunsAlone;
    Owner.MeanTaskResources.addSample(Offered.RequiredResources);
    acceptTask(Ctx, std::move(Task));
  }
  refuseTasks(Ctx, From, std::move(Refused));
}

void cancelTasks(reducer_context &Ctx, const host_ref &From,
                 const tasks_cancelled &Cancelled) {
  owner_state &Owner = Ctx.State.Owner;
  ownership_context Context = Ctx.ownershipContext();
  for (const attempt_ref &Attempt : Cancelled.Attempts) {
    const std::size_t Dequeued =
        std::erase_if(Owner.Queue, [&](const queued_task &Task) {
          return Task.Attempt == Attempt && Task.Coordinator == From;
        });
    Owner.Cancelled[{From, Attempt}] = Ctx.Now;
    if (Dequeued > 0) {
      Owner.markCapacityChanged();
      sendMessage(Ctx, From,
                  task_ended{Attempt, attempt_outcome::NotStarted, "", {}});
      continue;
    }
    for (auto &[Id, OwnedTarget] : Owner.OwnedTargets) {
      const auto Found = OwnedTarget.attempts().find(Attempt);
      if (Found != OwnedTarget.attempts().end() &&
          Found->second.Task.Coordinator == From) {
        OwnedTarget.stop(Attempt, "cancelled", Context);
      }
    }
  }
}

void evictCancelled(reducer_context &Ctx) {
  std::erase_if(Ctx.State.Owner.Cancelled, [&](const auto &Entry) {
    return Entry.second + config::CancellationRetention < Ctx.Now;
  });
}

void processTargets(reducer_context &Ctx) {
  ownership_context Context = Ctx.ownershipContext();
  auto &OwnedTargets = Ctx.State.Owner.OwnedTargets;
  const bool ScansForOverdue = Ctx.State.OverdueScanAt <= Ctx.Now;
  if (ScansForOverdue) {
    Ctx.State.OverdueScanAt = Ctx.Now + config::OverdueScanInterval;
  }
  for (auto &[Id, OwnedTarget] : OwnedTargets) {
    if (OwnedTarget.nextDueAt(Ctx.Now) <= Ctx.Now) {
      OwnedTarget.onTimer(Context);
    }
    for (ended_attempt &Ended : OwnedTarget.extractEnded()) {
      reportOutcome(Ctx, Id, std::move(Ended));
    }
    if (ScansForOverdue) {
      recordOverdue(Ctx, Id, OwnedTarget);
    }
  }
  startQueued(Ctx);
  refuseUnstarted(Ctx);
  if (OwnedTargets.empty() || ownsOnlyEvacuated(Ctx.State)) {
    refuseAll(Ctx);
  }
  for (auto &[Id, OwnedTarget] : OwnedTargets) {
    if (OwnedTarget.nextDueAt(Ctx.Now) <= Ctx.Now) {
      OwnedTarget.onTimer(Context);
    }
  }
}

void stopOrphans(reducer_context &Ctx) {
  pool_state &State = Ctx.State;
  const std::size_t Dropped =
      std::erase_if(State.Owner.Queue, [&](const queued_task &Task) {
        return isOrphan(State, Task.Coordinator, Ctx.Now);
      });
  Ctx.count(counter::OrphansDropped, Dropped);
  ownership_context Context = Ctx.ownershipContext();
  for (auto &[Id, OwnedTarget] : State.Owner.OwnedTargets) {
    std::vector<attempt_ref> Orphans;
    for (const auto &[Ref, Attempt] : OwnedTarget.attempts()) {
      if (!Attempt.IsStopRequested &&
          isOrphan(State, Attempt.Task.Coordinator, Ctx.Now)) {
        Orphans.push_back(Ref);
      }
    }
    for (const attempt_ref &Ref : Orphans) {
      OwnedTarget.stop(Ref, "coordinator_silent", Context);
    }
  }
}

boot_time nextTargetTimerAt(const pool_state &State, boot_time Now) {
  boot_time Due = boot_time::max();
  for (const auto &[Id, OwnedTarget] : State.Owner.OwnedTargets) {
    Due = std::min(Due, OwnedTarget.nextDueAt(Now));
  }
  return Due;
}

} // namespace tarragonbridge::pool
