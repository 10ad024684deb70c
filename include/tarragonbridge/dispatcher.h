/// The dispatcher: one reducer over all events, with effects as data.
#pragma once

#include "tarragonbridge/config.h"
#include "tarragonbridge/event.h"
#include "tarragonbridge/placement.h"
#include "tarragonbridge/reason.h"

#include <memory>
#include <optional>
#include <vector>

namespace tarragonbridge {

/// What a dispatcher may hold.
struct dispatcher_limits {
  std::size_t MaxQueuedTasks = config::MaxQueuedTasks;
  /// Payloads of the jobs that haven't ended, queued or running. A single job
  /// always finds room.
  std::size_t MaxJobBytes = config::MaxJobBytes;
  std::size_t MaxKeptAnswerBytes = config::MaxKeptAnswerBytes;
  /// Jobs that run, and jobs that have ended and are remembered.
  std::size_t MaxKeptJobs = config::MaxKeptJobs;
  /// Requests that wait for jobs which were submitted before.
  std::size_t MaxWaiters = config::MaxWaiters;
};

/// Derives the limits of a dispatcher from the memory of its process; by
/// default they are those above.
dispatcher_limits makeDispatcherLimits(std::size_t MemoryBytes);

/// What a dispatcher needs to start.
struct dispatcher_init {
  session_home Self;            ///< own failure domain, host and incarnation
  std::string Address;          ///< address for callers, told with new sessions
  std::uint64_t RandomSeed = 1; ///< seed of the generator held in the state
  claim_rules Rules{};          ///< all on but in tests
  placement_kind Placement = placement_kind::Expected;
  dispatcher_limits Limits{};
};

/// State of a dispatcher; its fields are internal.
struct dispatcher_state;

struct dispatcher_deleter {
  void operator()(dispatcher_state *State) const;
};
using dispatcher = std::unique_ptr<dispatcher_state, dispatcher_deleter>;

/// @returns a dispatcher with default settings and no targets
dispatcher makeDispatcher(const dispatcher_init &Init);

/// Applies one event.
///
/// @param[in,out] State the dispatcher
/// @param[in] Event what happened
/// @param[in] Now clock readings for this event
/// @returns effects, to be carried out in order
/// @remarks Pure: no I/O, no clock, no thread. Calls must not overlap.
std::vector<effect> reduce(dispatcher_state &State, const event &Event,
                           instant Now);

/// @returns when timer_fired is next due, nothing when no timer is set
std::optional<boot_time> nextTimer(const dispatcher_state &State);

/// Figures for /metrics and /v1/status.
struct dispatcher_figures {
  reason_counters Reasons;
  std::uint64_t JobsSubmitted = 0;
  std::uint64_t JobsCompleted = 0;
  std::uint64_t JobsFailed = 0;
  std::uint64_t TasksStarted = 0;
  std::uint64_t TaskReplies = 0;
  std::uint64_t TasksQueued = 0;
  std::uint64_t TasksRunning = 0;
  std::uint64_t JobsKept = 0;
  std::uint64_t Targets = 0;
  std::int64_t SettingsRevision = 0;
};

dispatcher_figures figures(const dispatcher_state &State);

} // namespace tarragonbridge
