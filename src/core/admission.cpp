#include "core/admission_p.h"

#include "core/capacity_p.h"
#include "tarragonbridge/config.h"

#include <algorithm>

namespace tarragonbridge {

namespace {
/// @returns why this host may not grant the key a start
std::optional<reason> checkHome(const dispatcher_state &State,
                                const job_request &Job) {
  const std::vector<std::string> &Domains = State.Settings.FailureDomains;
  if (!Job.Home.empty() &&
      std::find(Domains.begin(), Domains.end(), Job.Home) == Domains.end()) {
    return reason::UnknownFailureDomain;
  }
  if (parseSessionHome(Job.Key) != State.Init.Self) {
    return reason::HomeUnreachable;
  }
  return std::nullopt;
}

std::optional<reason> checkTimes(const job_request &Job, instant Now) {
  if (Job.SubmittedAt > Now.Wall + config::MaxClockSkew) {
    return reason::SubmittedInFuture;
  }
  if (Job.SubmittedAt <
      Now.Wall - config::AnswerRetention + config::MaxClockSkew) {
    return reason::SubmittedTooOld;
  }
  return std::nullopt;
}
} // namespace

std::optional<refusal> checkAdmission(const dispatcher_state &State,
                                      const job_request &Job, instant Now) {
  // Only the home of a key can prove that nothing ran under it.
  const bool IsHome = parseSessionHome(Job.Key) == State.Init.Self;
  const auto Refuse = [&](reason Reason) {
    const bool NotRun = IsHome && Reason != reason::SubmittedTooOld;
    return refusal{Job.Key, Reason, NotRun, "admit", State.Init.Self.Host, ""};
  };
  if (const auto Reason = checkHome(State, Job)) {
    return Refuse(*Reason);
  }
  if (const auto Reason = checkTimes(Job, Now)) {
    return Refuse(*Reason);
  }
  if (!State.Settings.Teams.contains(Job.Team)) {
    return Refuse(reason::UnknownTeam);
  }
  if (State.ShuttingDown) {
    return Refuse(reason::ShuttingDown);
  }
  if (const auto Reason = checkCapacity(State, Job, Now)) {
    return Refuse(*Reason);
  }
  return std::nullopt;
}

} // namespace tarragonbridge
