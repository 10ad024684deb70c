#include "core/pool/owner_learning_p.h"

#include "tarragonbridge/pool/config.h"

namespace tarragonbridge::pool {

void noteHealth(step &Step, const std::string &Target,
                const ended_attempt &Ended) {
  owner_state &Owner = Step.State.Owner;
  if (Ended.End == attempt_end::Done) {
    Owner.Health.erase(Target);
    return;
  }
  if (Ended.End != attempt_end::Failed) {
    return;
  }
  target_health &Health = Owner.Health[Target];
  if (Health.onFailed(Ended.Task.Attempt.Job)) {
    const boot_time Until = Health.setAside(Step.Now);
    Step.count(counter::TargetsSetAside);
    Step.log("target_set_aside",
             {{"target", Target},
              {"for_ms", std::to_string(until(Until, Step.Now).count())},
              {"job", Ended.Task.Attempt.Job}});
  }
}

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

} // namespace tarragonbridge::pool
