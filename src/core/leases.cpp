#include "core/leases_p.h"

#include "core/attempts_p.h"
#include "core/dispatch_p.h"
#include "tarragonbridge/config.h"

#include <utility>

namespace tarragonbridge {

namespace {
/// @returns when the attempt has ended for certain, if its target got it
///
/// @remarks Each renewal without an answer may have arrived just before the
/// lease's end and prolonged it once more.
boot_time leaseEnd(const attempt_record &Attempt) {
  return Attempt.HeardAt + config::TaskLease * (1 + Attempt.Unanswered) +
         config::LeaseMargin;
}

bool isAbandoned(const dispatcher_state &State, const attempt_id &Id) {
  const auto Found = State.Jobs.find(Id.Key);
  return Found == State.Jobs.end() || Found->second.Phase != job_phase::Running;
}

bool isRenewed(const attempt_record &Attempt) {
  const bool IsWanted = Attempt.State == attempt_state::Sent ||
                        Attempt.State == attempt_state::Suspect;
  return IsWanted && !Attempt.StopOut;
}

/// Renews what is wanted at one target, unless a renewal is under way.
void renewTarget(target_record &Target, effects &Effects) {
  if (Target.RenewalOut) {
    return;
  }
  renew_leases Batch{
      Target.Host.Name, Target.Host.Address, config::TaskLease, {}};
  for (auto &[Id, Attempt] : Target.Running) {
    if (isRenewed(Attempt)) {
      ++Attempt.Unanswered;
      Batch.Attempts.push_back(Id);
    }
  }
  if (!Batch.Attempts.empty()) {
    Target.RenewalOut = true;
    Effects.emplace_back(std::move(Batch));
  }
}

/// @returns what the clock says of an attempt, if anything
std::optional<attempt_input> dueInput(const dispatcher_state &State,
                                      const attempt_id &Id,
                                      const attempt_record &Attempt,
                                      bool IsRenewalOut, instant Now) {
  // A start that may still arrive has no lease yet, so its end proves nothing.
  const bool HasLease = Attempt.Received ||
                        Attempt.State == attempt_state::Ended ||
                        isAbandoned(State, Id);
  if (HasLease && leaseEnd(Attempt) <= Now.Boot) {
    return attempt_input::LeaseOver;
  }
  if (Attempt.Unanswered >= config::MaxUnansweredRenewals &&
      isRenewed(Attempt) && !IsRenewalOut) {
    return attempt_input::Silent;
  }
  return std::nullopt;
}

void checkAttempts(dispatcher_state &State, target_record &Target, instant Now,
                   effects &Effects) {
  std::vector<std::pair<attempt_id, attempt_input>> Due;
  for (auto &[Id, Attempt] : Target.Running) {
    const bool NeedsStop = Attempt.State == attempt_state::Stopping ||
                           Attempt.State == attempt_state::Lost;
    if (const auto Input =
            dueInput(State, Id, Attempt, Target.RenewalOut, Now)) {
      Due.emplace_back(Id, *Input);
    } else if (NeedsStop || isAbandoned(State, Id)) {
      sendStop(Target, Id, Attempt, Effects);
    }
  }
  for (const auto &[Id, Input] : Due) {
    applyInput(State, Target, Id, Input, {}, Now, Effects);
  }
}
} // namespace

void onLeasesAnswered(dispatcher_state &State, const leases_answered &Event,
                      instant Now, effects &Effects) {
  const auto Found = State.Targets.find(Event.Target);
  if (Found == State.Targets.end()) {
    return;
  }
  target_record &Target = Found->second;
  Target.RenewalOut = false;
  if (!Event.IsAnswered) {
    State.Figures.Reasons.add(reason::RenewalUnanswered);
    return;
  }
  const std::set<attempt_id> Lapsed(Event.Lapsed.begin(), Event.Lapsed.end());
  for (const attempt_id &Id : Event.Renewed) {
    const auto Attempt = Target.Running.find(Id);
    if (Attempt == Target.Running.end()) {
      continue; // its reply came first
    }
    Attempt->second.Unanswered = 0;
    if (Lapsed.contains(Id)) {
      applyInput(State, Target, Id, attempt_input::Lapsed, {}, Now, Effects);
      continue;
    }
    Attempt->second.Received = true;
    Attempt->second.HeardAt = Now.Boot;
  }
  dispatchQueued(State, Now, Effects);
}

void onRenewLeases(dispatcher_state &State, instant Now, effects &Effects) {
  State.LeaseTimerSet = false;
  for (auto &[Name, Target] : State.Targets) {
    checkAttempts(State, Target, Now, Effects);
    renewTarget(Target, Effects);
    State.LeaseTimerSet = State.LeaseTimerSet || !Target.Running.empty();
  }
  if (State.LeaseTimerSet) {
    setTimer(State, Now.Boot + config::LeaseRenewInterval,
             timer_kind::RenewLeases);
  }
  dispatchQueued(State, Now, Effects);
}

} // namespace tarragonbridge
