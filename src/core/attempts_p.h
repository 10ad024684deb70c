/// Attempts at tasks: starts, replies, leases and stops.
#pragma once

#include "core/state_p.h"

namespace tarragonbridge {

void startAttempt(dispatcher_state &State, job_record &Job, std::uint32_t Index,
                  target_record &Target, instant Now, effects &Effects);

/// Asks the target of the attempt that is out to stop it.
void requestStop(dispatcher_state &State, const job_record &Job,
                 std::uint32_t Index, effects &Effects);

void onTaskReplied(dispatcher_state &State, const task_replied &Event,
                   instant Now, effects &Effects);
void onLeasesAnswered(dispatcher_state &State, const leases_answered &Event);

/// Renews the leases of everything that is out, one batch for each target.
void onRenewLeases(dispatcher_state &State, instant Now, effects &Effects);

} // namespace tarragonbridge
