#include "core/admission_p.h"

#include "core/capacity_p.h"
#include "core/home_p.h"
#include "tarragonbridge/config.h"

#include <algorithm>

namespace tarragonbridge {

namespace {
/// @returns why the key's home is refused
std::optional<reason> checkHome(const dispatcher_state &State,
                                const job_request &Job) {
  const std::vector<std::string> &Domains = State.Settings.FailureDomains;
  if (!Job.Home.empty() &&
      std::find(Domains.begin(), Domains.end(), Job.Home) == Domains.end()) {
    return reason::UnknownFailureDomain;
  }
  if (!homeOf(State, Job.Key)) {
    return reason::HomeUnreachable;
  }
  return std::nullopt;
}
} // namespace

std::optional<refusal> checkAdmission(const dispatcher_state &State,
                                      const job_request &Job, instant Now) {
  const auto Refuse = [&](reason Reason) {
    const bool NotRun = Reason != reason::SubmittedTooOld &&
                        Reason != reason::HomeUnreachable &&
                        Reason != reason::UnknownFailureDomain;
    return refusal{Job.Key, Reason, NotRun, "admit", State.Init.Self.Host, ""};
  };
  if (const auto Reason = checkHome(State, Job)) {
    return Refuse(*Reason);
  }
  if (const auto Reason = checkSubmissionTime(Job.SubmittedAt, Now.Wall)) {
    return Refuse(*Reason);
  }
  if (!State.Settings.Teams.contains(Job.Team)) {
    return Refuse(reason::UnknownTeam);
  }
  if (State.ShuttingDown) {
    return Refuse(reason::ShuttingDown);
  }
  if (State.Jobs.size() + State.Answers.size() >=
      State.Init.Limits.MaxKeptJobs) {
    return Refuse(reason::ClaimsFull);
  }
  if (const auto Reason = checkCapacity(State, Job, Now)) {
    return Refuse(*Reason);
  }
  return std::nullopt;
}

std::optional<refusal> checkSubmission(const dispatcher_state &State,
                                       const job_submitted &Event,
                                       instant Now) {
  auto Refusal = checkAdmission(State, Event.Job, Now);
  if (!Refusal && !Event.HasRoom) {
    Refusal =
        refusal{Event.Job.Key, reason::QueueFull,    true,
                "admit",       State.Init.Self.Host, "too many bytes of jobs"};
  }
  return Refusal;
}

} // namespace tarragonbridge
