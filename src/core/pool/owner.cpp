#include "core/pool/state_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>
#include <functional>
#include <queue>

namespace tarragonbridge::pool {

namespace {
/// Queued tasks that are looked at for free room.
constexpr std::size_t MaxScannedTasks = 64;

milliseconds until(boot_time When, boot_time Now) {
  return std::chrono::duration_cast<milliseconds>(When - Now);
}

/// The latest start at speed 1 that ends within the objective.
boot_time urgencyOf(const queued_task &Task) {
  return Task.EndBy - Task.Expected;
}

/// @returns when an attempt is expected to end, from now
milliseconds remainingTime(const owned_attempt &Attempt, double Speed,
                           boot_time Now) {
  // An overdue attempt is expected to take this part of its time more.
  constexpr std::int64_t OverduePart = 4;
  const milliseconds Run = runTime(Attempt.Task.Expected, Speed);
  return std::max(until(Attempt.StartedAt, Now) + Run, Run / OverduePart);
}

void enqueue(owner_state &Owner, queued_task Task) {
  const auto Place =
      std::upper_bound(Owner.Queue.begin(), Owner.Queue.end(), Task,
                       [](const queued_task &A, const queued_task &B) {
                         return urgencyOf(A) < urgencyOf(B);
                       });
  Owner.Queue.insert(Place, std::move(Task));
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
  for (const auto &[Id, Custody] : Owner.Custodies) {
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
  return Owner.Custodies.size() == 1 && Owner.Custodies.contains(Target);
}

void refuse(step &Step, const host_ref &Coordinator,
            std::vector<attempt_ref> Tasks) {
  if (!Tasks.empty()) {
    Step.count(counter::OffersRefused, Tasks.size());
    sendMessage(Step, Coordinator, offer_refused{std::move(Tasks)});
  }
}

/// @returns the speed learnt at a target, or the mean of its kind
double speedOf(const pool_state &State, std::string_view Target) {
  const auto Found = State.Targets.find(Target);
  if (Found == State.Targets.end()) {
    return 1;
  }
  if (Found->second.Speed.isKnown()) {
    return Found->second.Speed.speed();
  }
  const auto Kind = State.KindSpeeds.find(Found->second.Record.Kind);
  return Kind == State.KindSpeeds.end() ? 1 : Kind->second;
}

health_state healthOf(const pool_state &State, std::string_view Target,
                      boot_time Now) {
  const auto Found = State.Targets.find(Target);
  return Found == State.Targets.end() ? health_state::Well
                                      : Found->second.Health.state(Now);
}

/// @returns whether so many targets fail that the tasks are to blame, or where
/// else they would go
bool doMostFail(const pool_state &State, boot_time Now) {
  const auto &Custodies = State.Owner.Custodies;
  const auto Failing =
      std::count_if(Custodies.begin(), Custodies.end(), [&](const auto &Entry) {
        return healthOf(State, Entry.first, Now) != health_state::Well;
      });
  return 2 * static_cast<std::size_t>(Failing) > Custodies.size();
}

/// The targets that get work, with what is known of them.
std::vector<const custody *> servingTargets(const pool_state &State,
                                            boot_time Now) {
  const bool IgnoresHealth = doMostFail(State, Now);
  std::vector<const custody *> Serving;
  for (const auto &[Id, Custody] : State.Owner.Custodies) {
    const health_state Health = healthOf(State, Id, Now);
    const bool IsWell =
        IgnoresHealth || Health == health_state::Well ||
        (Health == health_state::Probing && Custody.attempts().empty());
    if (Custody.isUsable() && IsWell) {
      Serving.push_back(&Custody);
    }
  }
  return Serving;
}

/// @returns the own room, as the only owner in a view
pool_view ownRoom(const pool_state &State, boot_time Now) {
  pool_view View;
  View.Owners.emplace_back();
  for (const custody *Custody : servingTargets(State, Now)) {
    const target_record &Record = Custody->record();
    View.Rooms.push_back({0, Record.Id, Record.Service, Custody->room(),
                          speedOf(State, Record.Id)});
  }
  return View;
}

/// @returns when each attempt's room is expected to be free
std::vector<busy_target> busyTargets(const pool_state &State, boot_time Now) {
  std::vector<busy_target> Busy;
  for (const custody *Custody : servingTargets(State, Now)) {
    const double Speed = speedOf(State, Custody->record().Id);
    for (const auto &[Ref, Attempt] : Custody->attempts()) {
      Busy.push_back({remainingTime(Attempt, Speed, Now), Speed});
    }
  }
  return Busy;
}

/// Puts the tasks that can't be in time any more behind those that can.
void sortByHope(std::vector<queued_task> &Queue, const pool_view &View,
                boot_time Now) {
  double Fastest = config::MinSpeed;
  for (const room_view &Room : View.Rooms) {
    Fastest = std::max(Fastest, Room.Speed);
  }
  std::stable_partition(
      Queue.begin(), Queue.end(), [&](const queued_task &Task) {
        return Now + runTime(Task.Expected, Fastest) <= Task.EndBy;
      });
}

/// @returns whether nobody waits for a coordinator's tasks any more, as far as
/// this host hears
bool isOrphan(const pool_state &State, const host_ref &Coordinator,
              boot_time Now) {
  return State.Init.Rules.StopOrphans &&
         !isHeard(State, Coordinator, Now, config::CoordinatorSilence);
}

/// Starts queued tasks as far as there is room, the most urgent first.
void startQueued(step &Step) {
  owner_state &Owner = Step.State.Owner;
  if (Owner.Queue.empty()) {
    return;
  }
  custody_context Context = Step.custodyContext();
  pool_view View = ownRoom(Step.State, Step.Now);
  std::vector<busy_target> Busy = busyTargets(Step.State, Step.Now);
  sortByHope(Owner.Queue, View, Step.Now);
  std::vector<queued_task> Kept;
  std::size_t Scanned = 0;
  for (queued_task &Task : Owner.Queue) {
    if (++Scanned > MaxScannedTasks) {
      Kept.push_back(std::move(Task));
      continue;
    }
    if (isOrphan(Step.State, Task.Coordinator, Step.Now)) {
      Step.count(counter::OrphansDropped);
      continue;
    }
    if (Task.UselessAt <= Step.Now) {
      refuse(Step, Task.Coordinator, {Task.Attempt});
      continue;
    }
    const auto Placing =
        placeQueued(View, Busy,
                    {Task.Service, Task.Needs, Task.Expected,
                     until(Task.EndBy, Step.Now), Task.AvoidTarget});
    if (!Placing) {
      Kept.push_back(std::move(Task));
      continue;
    }
    Owner.RoomChanged = true;
    const milliseconds ProbeAfter =
        config::ProbeMargin +
        std::chrono::duration_cast<milliseconds>(
            config::ProbeFactor *
            runTime(Task.Expected, speedOf(Step.State, Placing->Target)));
    Owner.Custodies.find(Placing->Target)
        ->second.start(std::move(Task), ProbeAfter, Context);
  }
  std::stable_sort(Kept.begin(), Kept.end(),
                   [](const queued_task &A, const queued_task &B) {
                     return urgencyOf(A) < urgencyOf(B);
                   });
  Owner.Queue = std::move(Kept);
}

/// Refuses the tasks that were offered to be started at once or not at all.
void refuseUnstarted(step &Step) {
  std::erase_if(Step.State.Owner.Queue, [&](const queued_task &Task) {
    if (Task.MayQueue) {
      return false;
    }
    refuse(Step, Task.Coordinator, {Task.Attempt});
    return true;
  });
}

/// Refuses the queue of a host whose targets have all gone to others.
void refuseAll(step &Step) {
  for (const queued_task &Task : std::exchange(Step.State.Owner.Queue, {})) {
    refuse(Step, Task.Coordinator, {Task.Attempt});
  }
}

counter counterOf(attempt_end End) {
  switch (End) {
  case attempt_end::Done:
    return counter::EndsDone;
  case attempt_end::Failed:
    return counter::EndsFailed;
  case attempt_end::Stopped:
    return counter::EndsStopped;
  case attempt_end::Lost:
    return counter::EndsLost;
  case attempt_end::NotStarted:
    break;
  }
  return counter::EndsNotStarted;
}

/// Judges a target by what became of a task there.
void noteHealth(step &Step, const std::string &Target,
                const ended_attempt &Ended) {
  const auto Found = Step.State.Targets.find(Target);
  if (Found == Step.State.Targets.end()) {
    return;
  }
  target_health &Health = Found->second.Health;
  if (Ended.End == attempt_end::Done) {
    Health.onDone();
  } else if (Ended.End == attempt_end::Failed &&
             Health.onFailed(Ended.Task.Attempt.Job)) {
    const boot_time Until = Health.setAside(Step.Now);
    Step.count(counter::TargetsSetAside);
    Step.log("target_set_aside",
             {{"target", Target},
              {"for_ms", std::to_string(until(Until, Step.Now).count())},
              {"job", Ended.Task.Attempt.Job}});
  }
}

void passOnEnd(step &Step, const std::string &Target, ended_attempt &&Ended) {
  pool_state &State = Step.State;
  State.Owner.RoomChanged = true;
  Step.count(counterOf(Ended.End));
  noteHealth(Step, Target, Ended);

  if (Ended.End == attempt_end::Done && Ended.IsTimed) {
    const auto Listed = State.Targets.find(Target);
    if (Listed != State.Targets.end()) {
      Listed->second.Speed.learn(Ended.Task.Expected, Ended.Ran);
      Listed->second.LearntAt = Step.Now;
    }
  }
  if (Ended.CanRequeue && Ended.Task.Specification) {
    enqueue(State.Owner, std::move(Ended.Task));
    return;
  }
  sendMessage(Step, Ended.Task.Coordinator,
              task_ended{Ended.Task.Attempt, Ended.End, Target, Ended.Ran});
}

/// Lowers the speed of targets whose tasks run longer than they should.
void noteOverdue(step &Step, const std::string &Target,
                 const custody &Custody) {
  const auto Listed = Step.State.Targets.find(Target);
  if (Listed == Step.State.Targets.end()) {
    return;
  }
  speed_estimate &Speed = Listed->second.Speed;
  for (const auto &[Ref, Attempt] : Custody.attempts()) {
    const milliseconds Age =
        std::chrono::duration_cast<milliseconds>(Step.Now - Attempt.StartedAt);
    const milliseconds Expected = runTime(Attempt.Task.Expected, Speed.speed());
    if (Attempt.Phase == attempt_phase::Running &&
        Custody.hasAnsweredSince(Attempt.StartedAt) &&
        Age > std::chrono::duration_cast<milliseconds>(config::OverdueFactor *
                                                       Expected)) {
      Speed.learnOverdue(std::chrono::duration_cast<milliseconds>(
                             config::OverdueFactor * Attempt.Task.Expected),
                         Age);
      Listed->second.LearntAt = Step.Now;
    }
  }
}

std::uint32_t slotsOf(const pool_state &State, boot_time Now) {
  std::int64_t Slots = 0;
  const task_needs &Typical = State.Owner.TypicalNeeds;
  for (const custody *Custody : servingTargets(State, Now)) {
    const task_needs &Capacity = Custody->record().Capacity;
    std::int64_t Fit =
        Typical.CpuMilli > 0 ? Capacity.CpuMilli / Typical.CpuMilli : 1;
    if (Typical.MemoryMb > 0) {
      Fit = std::min(Fit, Capacity.MemoryMb / Typical.MemoryMb);
    }
    Slots += Fit;
  }
  return static_cast<std::uint32_t>(Slots);
}

double meanSpeed(const pool_state &State, boot_time Now) {
  const auto Serving = servingTargets(State, Now);
  double Sum = 0;
  for (const custody *Custody : Serving) {
    Sum += speedOf(State, Custody->record().Id);
  }
  return Serving.empty() ? 1 : Sum / static_cast<double>(Serving.size());
}

/// @returns the predicted wait of a task that joins the queue's end
milliseconds predictWait(const pool_state &State, std::uint32_t Slots,
                         boot_time Now) {
  if (Slots == 0) {
    return milliseconds(0);
  }
  std::priority_queue<milliseconds, std::vector<milliseconds>, std::greater<>>
      FreeIn;
  for (const auto &[Id, Custody] : State.Owner.Custodies) {
    const double Speed = speedOf(State, Id);
    for (const auto &[Ref, Attempt] : Custody.attempts()) {
      if (FreeIn.size() >= Slots) {
        break;
      }
      FreeIn.push(remainingTime(Attempt, Speed, Now));
    }
  }
  while (FreeIn.size() < Slots) {
    FreeIn.push(milliseconds(0));
  }
  const double Speed = meanSpeed(State, Now);
  for (const queued_task &Task : State.Owner.Queue) {
    const milliseconds Start = FreeIn.top();
    FreeIn.pop();
    FreeIn.push(Start + runTime(Task.Expected, Speed));
  }
  return FreeIn.top();
}
} // namespace

void takeOffer(step &Step, const host_ref &From, task_offer &&Offer) {
  owner_state &Owner = Step.State.Owner;
  const auto Specification =
      std::make_shared<const std::string>(std::move(Offer.Specification));
  std::vector<attempt_ref> Refused;
  for (offered_task &Offered : Offer.Tasks) {
    queued_task Task;
    Task.Attempt = {Offer.Job, Offered.Step, Offered.Task, Offered.Run};
    if (Step.State.IsLeaving || Owner.Custodies.empty() ||
        Owner.Queue.size() >= config::MaxQueuedTasks ||
        Owner.Cancelled.contains({From, Task.Attempt}) ||
        hasOnly(Owner, Offered.AvoidTarget) || hasTask(Owner, Task.Attempt)) {
      Refused.push_back(std::move(Task.Attempt));
      continue;
    }
    Task.Coordinator = From;
    Task.Service = Offer.Service;
    Task.Priority = Offer.Priority;
    Task.Needs = Offered.Needs;
    Task.Expected = std::max(Offered.Expected, milliseconds(1));
    Task.EndBy = Step.Now + Offered.EndBy;
    Task.UselessAt = Step.Now + Offered.UselessIn;
    Task.AvoidTarget = std::move(Offered.AvoidTarget);
    Task.Specification = Specification;
    Task.MayQueue = Offered.MayQueue;
    Owner.TypicalNeeds = Offered.Needs;
    enqueue(Owner, std::move(Task));
  }
  refuse(Step, From, std::move(Refused));
}

void cancelTasks(step &Step, const host_ref &From,
                 const tasks_cancelled &Cancelled) {
  owner_state &Owner = Step.State.Owner;
  custody_context Context = Step.custodyContext();
  for (const attempt_ref &Attempt : Cancelled.Tasks) {
    const std::size_t Dequeued =
        std::erase_if(Owner.Queue, [&](const queued_task &Task) {
          return Task.Attempt == Attempt && Task.Coordinator == From;
        });
    Owner.Cancelled[{From, Attempt}] = Step.Now;
    if (Dequeued > 0) {
      Owner.RoomChanged = true;
      continue;
    }
    for (auto &[Id, Custody] : Owner.Custodies) {
      const auto Found = Custody.attempts().find(Attempt);
      if (Found != Custody.attempts().end() &&
          Found->second.Task.Coordinator == From) {
        Custody.stop(Attempt, "cancelled", Context);
      }
    }
  }
}

void forgetCancelled(step &Step) {
  std::erase_if(Step.State.Owner.Cancelled, [&](const auto &Entry) {
    return Entry.second + config::CancelMemory < Step.Now;
  });
}

void runTargets(step &Step) {
  custody_context Context = Step.custodyContext();
  auto &Custodies = Step.State.Owner.Custodies;
  for (auto &[Id, Custody] : Custodies) {
    if (Custody.nextDue(Step.Now) <= Step.Now) {
      Custody.onTimer(Context);
    }
    for (ended_attempt &Ended : Custody.takeEnded()) {
      passOnEnd(Step, Id, std::move(Ended));
    }
    noteOverdue(Step, Id, Custody);
  }
  startQueued(Step);
  refuseUnstarted(Step);
  if (Custodies.empty()) {
    refuseAll(Step);
  }
  for (auto &[Id, Custody] : Custodies) {
    if (Custody.nextDue(Step.Now) <= Step.Now) {
      Custody.onTimer(Context);
    }
  }
}

void learnKinds(step &Step) {
  pool_state &State = Step.State;
  std::map<std::string, std::pair<double, std::size_t>, std::less<>> Sums;
  const auto Add = [&](std::string_view Target, double Speed) {
    const auto Listed = State.Targets.find(Target);
    if (Listed != State.Targets.end()) {
      auto &[Sum, Count] = Sums[Listed->second.Record.Kind];
      Sum += Speed;
      ++Count;
    }
  };
  for (const auto &[Id, Custody] : State.Owner.Custodies) {
    const auto Listed = State.Targets.find(Id);
    if (Listed != State.Targets.end() && Listed->second.Speed.isKnown()) {
      Add(Id, Listed->second.Speed.speed());
    }
  }
  for (const auto &[Name, Peer] : State.Peers) {
    for (const target_room &Room : Peer.State.Targets) {
      if (Room.IsSpeedKnown) {
        Add(Room.Target, Room.Speed);
      }
    }
  }
  for (const auto &[Kind, Sum] : Sums) {
    State.KindSpeeds[Kind] = Sum.first / static_cast<double>(Sum.second);
  }
  // What was slow and is avoided would otherwise stay slow for ever.
  for (auto &[Id, Listed] : State.Targets) {
    const auto Kind = State.KindSpeeds.find(Listed.Record.Kind);
    if (Kind != State.KindSpeeds.end() &&
        Listed.LearntAt + config::SpeedTrustedFor < Step.Now) {
      Listed.Speed.drawTo(Kind->second);
    }
  }
}

void stopOrphans(step &Step) {
  pool_state &State = Step.State;
  const std::size_t Dropped =
      std::erase_if(State.Owner.Queue, [&](const queued_task &Task) {
        return isOrphan(State, Task.Coordinator, Step.Now);
      });
  Step.count(counter::OrphansDropped, Dropped);
  custody_context Context = Step.custodyContext();
  for (auto &[Id, Custody] : State.Owner.Custodies) {
    std::vector<attempt_ref> Orphans;
    for (const auto &[Ref, Attempt] : Custody.attempts()) {
      if (!Attempt.IsStopWanted &&
          isOrphan(State, Attempt.Task.Coordinator, Step.Now)) {
        Orphans.push_back(Ref);
      }
    }
    for (const attempt_ref &Ref : Orphans) {
      Custody.stop(Ref, "coordinator_silent", Context);
    }
  }
}

host_state describeRoom(const pool_state &State, boot_time Now) {
  host_state Described;
  Described.IsLeaving = State.IsLeaving;
  Described.ConfigurationVersion = State.Configuration.Version;
  Described.Slots = State.IsLeaving ? 0 : slotsOf(State, Now);
  Described.Wait = predictWait(State, Described.Slots, Now);
  const auto Serving = servingTargets(State, Now);
  for (const auto &[Id, Custody] : State.Owner.Custodies) {
    if (Custody.phase() == custody_phase::Lost) {
      continue;
    }
    const auto Listed = State.Targets.find(Id);
    const bool IsServing =
        std::find(Serving.begin(), Serving.end(), &Custody) != Serving.end();
    Described.Targets.push_back(
        {Id, Custody.record().Service, Custody.room(), speedOf(State, Id),
         Listed != State.Targets.end() && Listed->second.Speed.isKnown(),
         Custody.term(), IsServing && !State.IsLeaving});
  }
  return Described;
}

boot_time nextTargetTimer(const pool_state &State, boot_time Now) {
  boot_time Due = boot_time::max();
  for (const auto &[Id, Custody] : State.Owner.Custodies) {
    Due = std::min(Due, Custody.nextDue(Now));
  }
  return Due;
}

} // namespace tarragonbridge::pool
