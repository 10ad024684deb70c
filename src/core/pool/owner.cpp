#include "core/pool/owner_capacity_p.h"
#include "core/pool/target_feedback_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::pool {

namespace {
/// Queued tasks that are looked at for free room.
constexpr std::size_t MaxScannedTasks = 64;
/// Told as the predicted wait while no target gets work.
constexpr milliseconds NoTargetsWait{1'000};

/// The latest start at speed 1 that ends within the objective.
boot_time urgencyOf(const queued_task &Task) {
  return Task.ObjectiveDeadline - Task.ExpectedRunTime;
}

void enqueue(owner_state &Owner, queued_task Task) {
  const auto Place =
      std::upper_bound(Owner.Queue.begin(), Owner.Queue.end(), Task,
                       [](const queued_task &A, const queued_task &B) {
                         return urgencyOf(A) < urgencyOf(B);
                       });
  Owner.Queue.insert(Place, std::move(Task));
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
  for (const auto &[Id, Custody] : Owner.OwnedTargets) {
    const auto Found = Custody.attempts().lower_bound(First);
    if (Found != Custody.attempts().end() &&
        isSameTask(Found->first, Attempt)) {
      return true;
    }
  }
  return false;
}

/// @returns whether a target that a task avoids is the only one
bool hasOnly(const owner_state &Owner, const std::string &Target) {
  return Owner.OwnedTargets.size() == 1 && Owner.OwnedTargets.contains(Target);
}

void refuse(reducer_context &Ctx, const host_ref &Coordinator,
            std::vector<attempt_ref> Tasks) {
  if (!Tasks.empty()) {
    Ctx.count(counter::OffersRefused, Tasks.size());
    const auto Wait = predictWait(Ctx.State, Ctx.Now);
    sendMessage(Ctx, Coordinator,
                offer_refused{std::move(Tasks), Wait.value_or(NoTargetsWait)});
  }
}

/// Puts the tasks that can't be in time any more behind those that can.
void sortByHope(std::vector<queued_task> &Queue, const pool_view &View,
                boot_time Now) {
  double Fastest = config::MinSpeed;
  for (const available_target &Room : View.FreeTargets) {
    Fastest = std::max(Fastest, Room.Speed);
  }
  std::stable_partition(Queue.begin(), Queue.end(),
                        [&](const queued_task &Task) {
                          return Now + runTime(Task.ExpectedRunTime, Fastest) <=
                                 Task.ObjectiveDeadline;
                        });
}

/// @returns whether nobody waits for a coordinator's tasks any more, as far as
/// this host hears
bool isOrphan(const pool_state &State, const host_ref &Coordinator,
              boot_time Now) {
  return State.Init.Rules.StopOrphans &&
         !hostReceivedWithin(State, Coordinator, Now,
                             config::CoordinatorTimeout);
}

/// Starts queued tasks as far as there is room, the most urgent first.
void startQueued(reducer_context &Ctx) {
  owner_state &Owner = Ctx.State.Owner;
  const bool IsDue =
      Owner.QueueScanDue ||
      Owner.QueueScannedAt + config::QueueScanInterval <= Ctx.Now;
  if (Owner.Queue.empty() || !IsDue) {
    return;
  }
  Owner.QueueScanDue = false;
  Owner.QueueScannedAt = Ctx.Now;
  ownership_context Context = Ctx.ownershipContext();
  pool_view View = ownCapacity(Ctx.State, Ctx.Now);
  std::vector<busy_target> Busy = busyTargets(Ctx.State, Ctx.Now);
  sortByHope(Owner.Queue, View, Ctx.Now);
  std::vector<queued_task> Kept;
  std::size_t Scanned = 0;
  for (queued_task &Task : Owner.Queue) {
    if (++Scanned > MaxScannedTasks) {
      Kept.push_back(std::move(Task));
      continue;
    }
    if (isOrphan(Ctx.State, Task.Coordinator, Ctx.Now)) {
      Ctx.count(counter::OrphansDropped);
      continue;
    }
    if (Task.ExpiresAt <= Ctx.Now) {
      refuse(Ctx, Task.Coordinator, {Task.Attempt});
      continue;
    }
    const auto Placing =
        placeQueued(View, Busy,
                    {Task.Service, Task.RequiredResources, Task.ExpectedRunTime,
                     until(Task.ObjectiveDeadline, Ctx.Now), Task.AvoidTarget});
    if (!Placing) {
      Kept.push_back(std::move(Task));
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
  std::stable_sort(Kept.begin(), Kept.end(),
                   [](const queued_task &A, const queued_task &B) {
                     return urgencyOf(A) < urgencyOf(B);
                   });
  Owner.Queue = std::move(Kept);
}

/// Refuses the tasks that have found no room and would be late here, unless
/// they were offered to be queued.
void refuseUnstarted(reducer_context &Ctx) {
  auto &Queue = Ctx.State.Owner.Queue;
  if (std::all_of(Queue.begin(), Queue.end(),
                  [](const queued_task &Task) { return Task.MayQueue; })) {
    return;
  }
  const auto Wait = predictWait(Ctx.State, Ctx.Now);
  const double Speed = meanSpeed(Ctx.State, Ctx.Now);
  std::erase_if(Queue, [&](queued_task &Task) {
    if (Task.MayQueue) {
      return false;
    }
    const auto Bound = std::chrono::duration_cast<milliseconds>(
        config::QueueAdmissionFactor * until(Task.ObjectiveDeadline, Ctx.Now));
    if (Wait && *Wait + runTime(Task.ExpectedRunTime, Speed) <= Bound) {
      Task.MayQueue = true;
      return false;
    }
    refuse(Ctx, Task.Coordinator, {Task.Attempt});
    return true;
  });
}

/// Refuses the queue of a host whose targets have all gone to others.
void refuseAll(reducer_context &Ctx) {
  for (const queued_task &Task : std::exchange(Ctx.State.Owner.Queue, {})) {
    refuse(Ctx, Task.Coordinator, {Task.Attempt});
  }
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
    return counter::EndsLost;
  case attempt_outcome::NotStarted:
    break;
  }
  return counter::EndsNotStarted;
}

void passOnEnd(reducer_context &Ctx, const std::string &Target,
               ended_attempt &&Ended) {
  pool_state &State = Ctx.State;
  State.Owner.markCapacityChanged();
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
        Owner.Queue.size() >= config::MaxQueuedTasks ||
        Owner.Cancelled.contains({From, Task.Attempt}) ||
        hasOnly(Owner, Offered.AvoidTarget) || hasTask(Owner, Task.Attempt)) {
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
    Owner.MeanTaskResources.addSample(Offered.RequiredResources);
    enqueue(Owner, std::move(Task));
  }
  refuse(Ctx, From, std::move(Refused));
}

void cancelTasks(reducer_context &Ctx, const host_ref &From,
                 const tasks_cancelled &Cancelled) {
  owner_state &Owner = Ctx.State.Owner;
  ownership_context Context = Ctx.ownershipContext();
  for (const attempt_ref &Attempt : Cancelled.Tasks) {
    const std::size_t Dequeued =
        std::erase_if(Owner.Queue, [&](const queued_task &Task) {
          return Task.Attempt == Attempt && Task.Coordinator == From;
        });
    Owner.Cancelled[{From, Attempt}] = Ctx.Now;
    if (Dequeued > 0) {
      Owner.markCapacityChanged();
      continue;
    }
    for (auto &[Id, Custody] : Owner.OwnedTargets) {
      const auto Found = Custody.attempts().find(Attempt);
      if (Found != Custody.attempts().end() &&
          Found->second.Task.Coordinator == From) {
        Custody.stop(Attempt, "cancelled", Context);
      }
    }
  }
}

void evictCancelled(reducer_context &Ctx) {
  std::erase_if(Ctx.State.Owner.Cancelled, [&](const auto &Entry) {
    return Entry.second + config::CancellationRetention < Ctx.Now;
  });
}

void runTargets(reducer_context &Ctx) {
  ownership_context Context = Ctx.ownershipContext();
  auto &OwnedTargets = Ctx.State.Owner.OwnedTargets;
  const bool LooksForOverdue = Ctx.State.OverdueCheckAt <= Ctx.Now;
  if (LooksForOverdue) {
    Ctx.State.OverdueCheckAt = Ctx.Now + config::OverdueScanInterval;
  }
  for (auto &[Id, Custody] : OwnedTargets) {
    if (Custody.nextDue(Ctx.Now) <= Ctx.Now) {
      Custody.onTimer(Context);
    }
    for (ended_attempt &Ended : Custody.extractEnded()) {
      passOnEnd(Ctx, Id, std::move(Ended));
    }
    if (LooksForOverdue) {
      recordOverdue(Ctx, Id, Custody);
    }
  }
  startQueued(Ctx);
  refuseUnstarted(Ctx);
  if (OwnedTargets.empty()) {
    refuseAll(Ctx);
  }
  for (auto &[Id, Custody] : OwnedTargets) {
    if (Custody.nextDue(Ctx.Now) <= Ctx.Now) {
      Custody.onTimer(Context);
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
  for (auto &[Id, Custody] : State.Owner.OwnedTargets) {
    std::vector<attempt_ref> Orphans;
    for (const auto &[Ref, Attempt] : Custody.attempts()) {
      if (!Attempt.IsStopRequested &&
          isOrphan(State, Attempt.Task.Coordinator, Ctx.Now)) {
        Orphans.push_back(Ref);
      }
    }
    for (const attempt_ref &Ref : Orphans) {
      Custody.stop(Ref, "coordinator_silent", Context);
    }
  }
}

boot_time nextTargetTimerAt(const pool_state &State, boot_time Now) {
  boot_time Due = boot_time::max();
  for (const auto &[Id, Custody] : State.Owner.OwnedTargets) {
    Due = std::min(Due, Custody.nextDue(Now));
  }
  return Due;
}

} // namespace tarragonbridge::pool
