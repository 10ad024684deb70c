#include "core/capacity_p.h"

#include "core/lateness_p.h"
#include "core/teams_p.h"
#include "tarragonbridge/config.h"

#include <algorithm>

namespace tarragonbridge {

namespace {
queue_size sizeOf(const job_request &Job) {
  queue_size Size{Job.Tasks.size(), 0};
  for (const task_request &Task : Job.Tasks) {
    Size.Bytes += Task.Payload.size();
  }
  return Size;
}

/// @param[in] Limit zero for none
bool isWithin(std::uint64_t Limit, std::uint64_t Value) {
  return Limit == 0 || Value <= Limit;
}

bool everFits(const dispatcher_state &State, const team_limits &Limits,
              const resources &Needs) {
  const std::vector<resources> &Largest = State.Capacity.Largest;
  // With no target listed yet nothing is known about what fits.
  const bool FitsTarget =
      Largest.empty() || std::any_of(Largest.begin(), Largest.end(),
                                     [&](const resources &Capacity) {
                                       return Needs.fitsIn(Capacity);
                                     });
  return FitsTarget && everAllows(Limits, Needs);
}

bool everFits(const dispatcher_state &State, const job_request &Job) {
  const team_limits &Limits = State.Settings.Teams.at(Job.Team).Limits;
  const queue_size Size = sizeOf(Job);
  const bool FitsQueue = Size.Tasks <= State.Init.Limits.MaxQueuedTasks &&
                         isWithin(Limits.MaxQueuedTasks, Size.Tasks) &&
                         isWithin(Limits.MaxQueuedBytes, Size.Bytes);
  return FitsQueue && std::all_of(Job.Tasks.begin(), Job.Tasks.end(),
                                  [&](const task_request &Task) {
                                    return everFits(State, Limits, Task.Needs);
                                  });
}

std::optional<reason> checkQueues(const dispatcher_state &State,
                                  const job_request &Job) {
  const queue_size Size = sizeOf(Job);
  const dispatcher_limits &Limits = State.Init.Limits;
  const bool HasBytes =
      State.JobBytes == 0 || State.JobBytes + Size.Bytes <= Limits.MaxJobBytes;
  if (!HasBytes || !State.Queues.hasRoom({Limits.MaxQueuedTasks, 0}, Size)) {
    return reason::QueueFull;
  }
  if (!State.Queues.hasRoom(Job.Team, Size)) {
    return reason::TeamQueueFull;
  }
  return std::nullopt;
}
} // namespace

void refreshCapacity(dispatcher_state &State) {
  std::vector<resources> &Largest = State.Capacity.Largest;
  Largest.clear();
  for (const auto &[Name, Target] : State.Targets) {
    const resources &Capacity = Target.Host.Capacity;
    const auto Contains = [&](const resources &Other) {
      return Capacity.fitsIn(Other);
    };
    if (!Target.Listed ||
        std::any_of(Largest.begin(), Largest.end(), Contains)) {
      continue;
    }
    std::erase_if(Largest, [&](const resources &Other) {
      return Other.fitsIn(Capacity);
    });
    Largest.push_back(Capacity);
  }
}

std::optional<reason> checkCapacity(const dispatcher_state &State,
                                    const job_request &Job, instant Now) {
  if (!everFits(State, Job)) {
    return reason::NeverFits;
  }
  if (const auto Reason = checkQueues(State, Job)) {
    return Reason;
  }
  if (isSurelyLate(State, Job, Now)) {
    return reason::TooLate;
  }
  return std::nullopt;
}

} // namespace tarragonbridge
