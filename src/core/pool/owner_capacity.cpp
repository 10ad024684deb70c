#include "core/pool/owner_capacity_p.h"

#include "core/pool/crashes_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <queue>

namespace tarragonbridge::pool {

double speedOf(const pool_state &State, std::string_view Target) {
  const auto Found = State.Targets.find(Target);
  if (Found == State.Targets.end()) {
    return 1;
  }
  if (Found->second.Speed.isMeasured()) {
    return Found->second.Speed.speed();
  }
  const auto Kind = State.KindSpeeds.find(Found->second.Record.Kind);
  return Kind == State.KindSpeeds.end() ? 1 : Kind->second;
}

namespace {
health_state healthOf(const pool_state &State, std::string_view Target,
                      boot_time Now) {
  const auto &Health = State.Owner.Health;
  const auto Found = Health.find(Target);
  return Found == Health.end() ? health_state::Well : Found->second.state(Now);
}

/// @returns whether more than half of the owned targets fail. Their health is
/// then ignored: the tasks are probably at fault, and too few other targets are
/// left.
bool areMostFailing(const pool_state &State, boot_time Now) {
  const auto &OwnedTargets = State.Owner.OwnedTargets;
  const auto &Health = State.Owner.Health;
  const auto Failing =
      std::count_if(Health.begin(), Health.end(), [&](const auto &Entry) {
        return OwnedTargets.contains(Entry.first) &&
               Entry.second.state(Now) != health_state::Well;
      });
  return 2 * static_cast<std::size_t>(Failing) > OwnedTargets.size();
}

/// @returns whether a target runs tasks slowly for a while: it gets one task at
/// a time, so that load returns to it by degrees
bool isCold(const pool_state &State, const owned_target &OwnedTarget,
            boot_time Now) {
  const auto Listed = State.Targets.find(OwnedTarget.record().Id);
  return Listed != State.Targets.end() && Listed->second.ColdUntil > Now;
}

resource_vector freeCapacityOf(const pool_state &State,
                               const owned_target &OwnedTarget, boot_time Now) {
  const bool IsTaken =
      !OwnedTarget.attempts().empty() && isCold(State, OwnedTarget, Now);
  return IsTaken ? resource_vector{} : OwnedTarget.freeCapacity();
}

/// @returns the owned targets that get new attempts
std::vector<const owned_target *> servingTargets(const pool_state &State,
                                                 boot_time Now) {
  std::vector<const owned_target *> Serving;
  if (!areEvacuationsKnown(State, Now)) {
    return Serving;
  }
  const bool IgnoresHealth = areMostFailing(State, Now);
  for (const auto &[Id, OwnedTarget] : State.Owner.OwnedTargets) {
    const health_state Health = healthOf(State, Id, Now);
    const bool IsHealthy =
        IgnoresHealth || Health == health_state::Well ||
        (Health == health_state::Probing && OwnedTarget.attempts().empty());
    const std::string &Domain = OwnedTarget.record().FailureDomain;
    if (OwnedTarget.isSchedulable() && IsHealthy &&
        !isDomainEvacuated(State, Domain)) {
      Serving.push_back(&OwnedTarget);
    }
  }
  return Serving;
}

/// @returns the expected time until an attempt ends
milliseconds remainingTime(const owned_attempt &Attempt, double Speed,
                           boot_time Now) {
  // An overdue attempt is expected to run on for its run time divided by this.
  constexpr std::int64_t OverdueTimeDivisor = 4;
  const milliseconds TotalTime = runTime(Attempt.Task.ExpectedRunTime, Speed);
  return std::max(until(Attempt.StartedAt, Now) + TotalTime,
                  TotalTime / OverdueTimeDivisor);
}

std::uint32_t slotsOf(const pool_state &State, boot_time Now) {
  double Slots = 0;
  const mean_resources &Mean = State.Owner.MeanTaskResources;
  for (const owned_target *OwnedTarget : servingTargets(State, Now)) {
    const resource_vector &Capacity = OwnedTarget->record().Capacity;
    double TasksThatFit = 1;
    if (Mean.CpuMilli > 0) {
      TasksThatFit = static_cast<double>(Capacity.CpuMilli) / Mean.CpuMilli;
    }
    if (Mean.MemoryMb > 0) {
      TasksThatFit = std::min(
          TasksThatFit, static_cast<double>(Capacity.MemoryMb) / Mean.MemoryMb);
    }
    if (isCold(State, *OwnedTarget, Now)) {
      TasksThatFit = std::min(TasksThatFit, 1.0);
    }
    Slots += std::floor(TasksThatFit);
  }
  constexpr double MaxSlots = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(Slots, MaxSlots));
}

} // namespace

double meanSpeed(const pool_state &State, boot_time Now) {
  const auto Serving = servingTargets(State, Now);
  double Sum = 0;
  for (const owned_target *OwnedTarget : Serving) {
    Sum += speedOf(State, OwnedTarget->record().Id);
  }
  return Serving.empty() ? 1 : Sum / static_cast<double>(Serving.size());
}

double fastestSpeed(const pool_state &State, boot_time Now) {
  double Fastest = config::MinSpeed;
  for (const owned_target *OwnedTarget : servingTargets(State, Now)) {
    Fastest = std::max(Fastest, speedOf(State, OwnedTarget->record().Id));
  }
  return Fastest;
}

std::optional<milliseconds> predictQueueWait(const pool_state &State,
                                             boot_time Now) {
  const std::uint32_t Slots = slotsOf(State, Now);
  if (Slots == 0) {
    return std::nullopt;
  }
  std::priority_queue<milliseconds, std::vector<milliseconds>, std::greater<>>
      FreeIn;
  for (const auto &[Id, OwnedTarget] : State.Owner.OwnedTargets) {
    const double Speed = speedOf(State, Id);
    for (const auto &[Ref, Attempt] : OwnedTarget.attempts()) {
      if (FreeIn.size() >= Slots) {
        break;
      }
      FreeIn.push(remainingTime(Attempt, Speed, Now));
    }
  }
  // Each queued task takes one free slot; one more shows that there is no wait.
  const std::size_t RelevantSlots = std::min<std::size_t>(
      Slots, FreeIn.size() + State.Owner.Queue.size() + 1);
  while (FreeIn.size() < RelevantSlots) {
    FreeIn.push(milliseconds(0));
  }
  const double Speed = meanSpeed(State, Now);
  for (const queued_task &Task : State.Owner.Queue) {
    const milliseconds Start = FreeIn.top();
    FreeIn.pop();
    FreeIn.push(Start + runTime(Task.ExpectedRunTime, Speed));
  }
  return FreeIn.top();
}

pool_view ownCapacity(const pool_state &State, boot_time Now) {
  pool_view View;
  View.Owners.emplace_back();
  for (const owned_target *OwnedTarget : servingTargets(State, Now)) {
    const target_record &Record = OwnedTarget->record();
    View.FreeTargets.push_back(
        {0, Record.Id, Record.Service, freeCapacityOf(State, *OwnedTarget, Now),
         speedOf(State, Record.Id), OwnedTarget->attempts().empty(),
         isCold(State, *OwnedTarget, Now)});
  }
  return View;
}

std::vector<busy_target> busyTargets(const pool_state &State, boot_time Now) {
  std::vector<busy_target> Busy;
  for (const owned_target *OwnedTarget : servingTargets(State, Now)) {
    const double Speed = speedOf(State, OwnedTarget->record().Id);
    for (const auto &[Ref, Attempt] : OwnedTarget->attempts()) {
      Busy.push_back({remainingTime(Attempt, Speed, Now), Speed});
    }
  }
  return Busy;
}

host_state makeHostState(const pool_state &State, boot_time Now) {
  host_state HostState;
  HostState.IsShuttingDown = State.IsShuttingDown;
  HostState.ConfigurationVersion = State.Configuration.Version;
  HostState.Slots = State.IsShuttingDown ? 0 : slotsOf(State, Now);
  HostState.PredictedQueueWait =
      predictQueueWait(State, Now).value_or(milliseconds(0));
  HostState.Crashes = ownCrashes(State);
  HostState.CanOwnTargets = canOwnTargets(State);
  HostState.Evacuations = State.Evacuations.List.records();
  const auto Serving = servingTargets(State, Now);
  for (const auto &[Id, OwnedTarget] : State.Owner.OwnedTargets) {
    if (OwnedTarget.phase() == ownership_phase::Lost) {
      continue;
    }
    const auto Listed = State.Targets.find(Id);
    const bool IsServing = std::find(Serving.begin(), Serving.end(),
                                     &OwnedTarget) != Serving.end();
    HostState.Targets.push_back(
        {Id, OwnedTarget.record().Service,
         freeCapacityOf(State, OwnedTarget, Now), speedOf(State, Id),
         Listed != State.Targets.end() && Listed->second.Speed.isMeasured(),
         OwnedTarget.token(), IsServing && !State.IsShuttingDown});
  }
  return HostState;
}

} // namespace tarragonbridge::pool
