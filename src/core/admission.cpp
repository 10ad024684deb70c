#include "core/admission_p.h"

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

bool everFits(const dispatcher_state &State, const task_request &Task) {
  return std::any_of(State.Targets.begin(), State.Targets.end(),
                     [&](const auto &Entry) {
                       return Task.Needs.fitsIn(Entry.second.Host.Capacity);
                     });
}

std::optional<reason> checkQueues(const dispatcher_state &State,
                                  const job_request &Job) {
  queue_size More{Job.Tasks.size(), 0};
  for (const task_request &Task : Job.Tasks) {
    More.Bytes += Task.Payload.size();
  }
  if (!State.Queues.hasRoom({config::MaxQueuedTasks, config::MaxQueuedBytes},
                            More)) {
    return reason::QueueFull;
  }
  if (!State.Queues.hasRoom(Job.Team, More)) {
    return reason::TeamQueueFull;
  }
  return std::nullopt;
}

std::optional<reason> checkCapacity(const dispatcher_state &State,
                                    const job_request &Job, instant Now) {
  // With no target listed yet nothing is known about what fits.
  const bool AllFit =
      State.Targets.empty() || std::all_of(Job.Tasks.begin(), Job.Tasks.end(),
                                           [&](const task_request &Task) {
                                             return everFits(State, Task);
                                           });
  if (!AllFit) {
    return reason::NeverFits;
  }
  if (const auto Reason = checkQueues(State, Job)) {
    return Reason;
  }
  if (Job.SubmittedAt + Job.TimeLimit <= Now.Wall) {
    return reason::TooLate;
  }
  return std::nullopt;
}
} // namespace

std::optional<refusal> checkAdmission(const dispatcher_state &State,
                                      const job_request &Job, instant Now) {
  const auto Refuse = [&](reason Reason) {
    const bool NotRun =
        Reason != reason::SubmittedTooOld && Reason != reason::HomeUnreachable;
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
  if (const auto Reason = checkCapacity(State, Job, Now)) {
    return Refuse(*Reason);
  }
  return std::nullopt;
}

} // namespace tarragonbridge
