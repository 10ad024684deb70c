/// Attempts at tasks: starts, replies, stops and further attempts.
#pragma once

#include "core/state_p.h"

namespace tarragonbridge {

/// @returns the attempt that is out now
attempt_record &startAttempt(dispatcher_state &State, job_record &Job,
                             std::uint32_t Index, target_record &Target,
                             instant Now, effects &Effects);

/// Abandons the attempt that is out and asks its target to stop it.
///
/// @remarks Sends nothing when a stop is already under way.
void requestStop(dispatcher_state &State, const job_record &Job,
                 std::uint32_t Index, effects &Effects);

/// Sends a stop unless one is already under way.
void sendStop(target_record &Target, const attempt_id &Id,
              attempt_record &Attempt, effects &Effects);

/// Applies one input to an attempt by the table.
///
/// @param[in,out] State the dispatcher
/// @param[in,out] Target where the attempt was sent
/// @param[in] Id the attempt; inputs to one that is not out are counted only
/// @param[in] Input what was heard
/// @param[in] Reply content of a reply, empty for other inputs
/// @param[in] Now clock readings for this event
/// @param[out] Effects effects to carry out
void applyInput(dispatcher_state &State, target_record &Target,
                const attempt_id &Id, attempt_input Input,
                const target_reply &Reply, instant Now, effects &Effects);

void onTaskReplied(dispatcher_state &State, const task_replied &Event,
                   instant Now, effects &Effects);
void onStopAnswered(dispatcher_state &State, const stop_answered &Event,
                    instant Now, effects &Effects);

/// Queues a task whose back-off is over.
void onRetryDue(dispatcher_state &State, const std::string &Key,
                std::uint32_t Task, instant Now);

} // namespace tarragonbridge
