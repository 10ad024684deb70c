/// Placement: the target of each attempt.
#pragma once

#include "core/state_p.h"

#include <concepts>

namespace tarragonbridge {

/// What a policy is asked to place.
struct placement_request {
  const resources &Needs;
  double ExpectedMs = 0; ///< run time at a target of speed 1
  milliseconds Waited{};
  boot_time Now;
};

/// A way to choose a target: returns one with room, or nullptr to wait.
template <class T>
concept placement_policy = requires(const T &Policy, dispatcher_state &State,
                                    const placement_request &Request) {
  { Policy.choose(State, Request) } -> std::same_as<target_record *>;
};

/// Chooses the target of the next attempt at a queued task.
///
/// @param[in,out] State the dispatcher
/// @param[in] Job job of the task
/// @param[in] Task task to start
/// @param[in] Now clock readings for this event
/// @returns the target, or nullptr when the task is to wait: no target has
/// room, or one that is about to have room ends it sooner
target_record *chooseTarget(dispatcher_state &State, const job_record &Job,
                            const task_record &Task, instant Now);

/// Learns the target's speed and the class's run time from a finished task.
void learnFromFinished(dispatcher_state &State, const job_record &Job,
                       const task_record &Task, target_record &Target,
                       microseconds Took);

/// Takes over the shares of slots. In another failure domain this host has no
/// share; slots there are won by probes alone.
void onSharesChanged(dispatcher_state &State, boot_time Now);

} // namespace tarragonbridge
