#include "core/pool/target_feedback_p.h"

#include "tarragonbridge/pool/config.h"

namespace tarragonbridge::pool {

void recordHealth(reducer_context &Ctx, const std::string &Target,
                  const ended_attempt &Ended) {
  owner_state &Owner = Ctx.State.Owner;
  if (Ended.Outcome == attempt_outcome::Done) {
    Owner.Health.erase(Target);
    return;
  }
  if (Ended.Outcome != attempt_outcome::Failed) {
    return;
  }
  target_health &Health = Owner.Health[Target];
  if (Health.onFailed(Ended.Task.Attempt.Job)) {
    const boot_time Until = Health.setAside(Ctx.Now);
    Ctx.count(counter::TargetsSetAside);
    Ctx.log("target_set_aside",
            {{"target", Target},
             {"for_ms", std::to_string(until(Until, Ctx.Now).count())},
             {"job", Ended.Task.Attempt.Job}});
  }
}

void recordOverdue(reducer_context &Ctx, const std::string &Target,
                   const owned_target &OwnedTarget) {
  const auto Listed = Ctx.State.Targets.find(Target);
  if (Listed == Ctx.State.Targets.end()) {
    return;
  }
  speed_estimate &Speed = Listed->second.Speed;
  for (const auto &[Ref, Attempt] : OwnedTarget.attempts()) {
    const milliseconds Age =
        std::chrono::duration_cast<milliseconds>(Ctx.Now - Attempt.StartedAt);
    const milliseconds Expected =
        runTime(Attempt.Task.ExpectedRunTime, Speed.speed());
    if (Attempt.Phase == attempt_phase::Running &&
        OwnedTarget.hasRespondedSince(Attempt.StartedAt) &&
        Age > std::chrono::duration_cast<milliseconds>(config::OverdueFactor *
                                                       Expected)) {
      Speed.addOverdueSample(
          std::chrono::duration_cast<milliseconds>(
              config::OverdueFactor * Attempt.Task.ExpectedRunTime),
          Age);
      Listed->second.SpeedMeasuredAt = Ctx.Now;
    }
  }
}

void updateKindSpeeds(reducer_context &Ctx) {
  pool_state &State = Ctx.State;
  std::map<std::string, std::pair<double, std::size_t>, std::less<>> Sums;
  const auto Add = [&](std::string_view Target, double Speed) {
    const auto Listed = State.Targets.find(Target);
    if (Listed != State.Targets.end()) {
      auto &[Sum, Count] = Sums[Listed->second.Record.Kind];
      Sum += Speed;
      ++Count;
    }
  };
  for (const auto &[Id, OwnedTarget] : State.Owner.OwnedTargets) {
    const auto Listed = State.Targets.find(Id);
    if (Listed != State.Targets.end() && Listed->second.Speed.isMeasured()) {
      Add(Id, Listed->second.Speed.speed());
    }
  }
  for (const auto &[Name, Peer] : State.Peers) {
    for (const target_free_capacity &Capacity : Peer.State.Targets) {
      if (Capacity.IsSpeedMeasured) {
        Add(Capacity.Target, Capacity.Speed);
      }
    }
  }
  for (const auto &[Kind, Sum] : Sums) {
    State.KindSpeeds[Kind] = Sum.first / static_cast<double>(Sum.second);
  }
  // A target that was measured as slow gets few tasks, so its estimate would
  // otherwise stay low for ever.
  for (auto &[Id, Listed] : State.Targets) {
    const auto Kind = State.KindSpeeds.find(Listed.Record.Kind);
    if (Kind != State.KindSpeeds.end() &&
        Listed.SpeedMeasuredAt + config::SpeedFreshness < Ctx.Now) {
      Listed.Speed.decayTowards(Kind->second);
    }
  }
}

} // namespace tarragonbridge::pool
