#include "core/pool/owner_capacity_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>
#include <functional>
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

/// @returns whether so many targets fail that the tasks are to blame, or where
/// else they would go
bool doMostFail(const pool_state &State, boot_time Now) {
  const auto &OwnedTargets = State.Owner.OwnedTargets;
  const auto &Health = State.Owner.Health;
  const auto Failing =
      std::count_if(Health.begin(), Health.end(), [&](const auto &Entry) {
        return OwnedTargets.contains(Entry.first) &&
               Entry.second.state(Now) != health_state::Well;
      });
  return 2 * static_cast<std::size_t>(Failing) > OwnedTargets.size();
}

/// The targets that get work, with what is known of them.
std::vector<const owned_target *> servingTargets(const pool_state &State,
                                                 boot_time Now) {
  const bool IgnoresHealth = doMostFail(State, Now);
  std::vector<const owned_target *> Serving;
  for (const auto &[Id, Custody] : State.Owner.OwnedTargets) {
    const health_state Health = healthOf(State, Id, Now);
    const bool IsWell =
        IgnoresHealth || Health == health_state::Well ||
        (Health == health_state::Probing && Custody.attempts().empty());
    if (Custody.isSchedulable() && IsWell) {
      Serving.push_back(&Custody);
    }
  }
  return Serving;
}

/// @returns when an attempt is expected to end, from now
milliseconds remainingTime(const owned_attempt &Attempt, double Speed,
                           boot_time Now) {
  // An overdue attempt is expected to take this part of its time more.
  constexpr std::int64_t OverduePart = 4;
  const milliseconds Run = runTime(Attempt.Task.ExpectedRunTime, Speed);
  return std::max(until(Attempt.StartedAt, Now) + Run, Run / OverduePart);
}

std::uint32_t slotsOf(const pool_state &State, boot_time Now) {
  std::uint32_t Slots = 0;
  const mean_resources &Typical = State.Owner.MeanTaskResources;
  for (const owned_target *Custody : servingTargets(State, Now)) {
    const resource_vector &Capacity = Custody->record().Capacity;
    double Fit = 1;
    if (Typical.CpuMilli > 0) {
      Fit = static_cast<double>(Capacity.CpuMilli) / Typical.CpuMilli;
    }
    if (Typical.MemoryMb > 0) {
      Fit = std::min(Fit,
                     static_cast<double>(Capacity.MemoryMb) / Typical.MemoryMb);
    }
    Slots += static_cast<std::uint32_t>(Fit);
  }
  return Slots;
}

} // namespace

double meanSpeed(const pool_state &State, boot_time Now) {
  const auto Serving = servingTargets(State, Now);
  double Sum = 0;
  for (const owned_target *Custody : Serving) {
    Sum += speedOf(State, Custody->record().Id);
  }
  return Serving.empty() ? 1 : Sum / static_cast<double>(Serving.size());
}

std::optional<milliseconds> predictWait(const pool_state &State,
                                        boot_time Now) {
  const std::uint32_t Slots = slotsOf(State, Now);
  if (Slots == 0) {
    return std::nullopt;
  }
  std::priority_queue<milliseconds, std::vector<milliseconds>, std::greater<>>
      FreeIn;
  for (const auto &[Id, Custody] : State.Owner.OwnedTargets) {
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
    FreeIn.push(Start + runTime(Task.ExpectedRunTime, Speed));
  }
  return FreeIn.top();
}

pool_view ownCapacity(const pool_state &State, boot_time Now) {
  pool_view View;
  View.Owners.emplace_back();
  for (const owned_target *Custody : servingTargets(State, Now)) {
    const target_record &Record = Custody->record();
    View.FreeTargets.push_back({0, Record.Id, Record.Service,
                                Custody->freeCapacity(),
                                speedOf(State, Record.Id)});
  }
  return View;
}

std::vector<busy_target> busyTargets(const pool_state &State, boot_time Now) {
  std::vector<busy_target> Busy;
  for (const owned_target *Custody : servingTargets(State, Now)) {
    const double Speed = speedOf(State, Custody->record().Id);
    for (const auto &[Ref, Attempt] : Custody->attempts()) {
      Busy.push_back({remainingTime(Attempt, Speed, Now), Speed});
    }
  }
  return Busy;
}

host_state makeHostState(const pool_state &State, boot_time Now) {
  host_state Described;
  Described.IsShuttingDown = State.IsShuttingDown;
  Described.ConfigurationVersion = State.Configuration.Version;
  Described.Slots = State.IsShuttingDown ? 0 : slotsOf(State, Now);
  Described.PredictedQueueWait =
      predictWait(State, Now).value_or(milliseconds(0));
  const auto Serving = servingTargets(State, Now);
  for (const auto &[Id, Custody] : State.Owner.OwnedTargets) {
    if (Custody.phase() == ownership_phase::Lost) {
      continue;
    }
    const auto Listed = State.Targets.find(Id);
    const bool IsServing =
        std::find(Serving.begin(), Serving.end(), &Custody) != Serving.end();
    Described.Targets.push_back(
        {Id, Custody.record().Service, Custody.freeCapacity(),
         speedOf(State, Id),
         Listed != State.Targets.end() && Listed->second.Speed.isMeasured(),
         Custody.token(), IsServing && !State.IsShuttingDown});
  }
  return Described;
}

} // namespace tarragonbridge::pool
