/// A pool host: one reducer over all events, with effects as data.
#pragma once

#include "tarragonbridge/pool/events.h"

#include <array>
#include <memory>

namespace tarragonbridge::pool {

/// Rules of custody; a test takes one out to show what it prevents.
struct ownership_rules {
  bool RaiseTokenInDoubt = true;   ///< so that a late start does nothing
  bool StopUnknownAttempts = true; ///< what runs and isn't known is stopped
  bool YieldWhenFenced = true;     ///< a refused holder starts nothing more
  bool WaitForLeaseExpiry = true;  ///< silence proves an end only after it
  bool BoundLeaseByCoordinatorContact =
      true;                ///< by when coordinators were heard
  bool StopOrphans = true; ///< tasks of silent coordinators are stopped
};

struct pool_init {
  std::string Name;
  std::string FailureDomain;
  std::uint64_t Incarnation = 0; ///< drawn at start, never 0
  std::uint64_t RandomSeed = 1;
  milliseconds MaxLeaseTime{1'000}; ///< the longest that targets grant
  ownership_rules Rules{};          ///< all on but in tests
};

/// State of a pool host; its fields are internal.
struct pool_state;
struct pool_deleter {
  void operator()(pool_state *State) const;
};
using pool_host = std::unique_ptr<pool_state, pool_deleter>;

pool_host makePoolHost(const pool_init &Init);

/// @returns the incarnation that it was made with
std::uint64_t incarnationOf(const pool_state &State);

/// Applies one event.
///
/// @param[in] Now clock reading for this event, not earlier than any before
/// @param[out] Effects to be carried out in order; appended to
/// @remarks Pure: no I/O, no clock, no thread. Calls must not overlap.
void reduce(pool_state &State, event &&Event, boot_time Now,
            std::vector<effect> &Effects);

/// @returns when timer_fired is next due
boot_time nextTimer(const pool_state &State);

/// What is counted, in the order of counterNames().
enum class counter : std::uint8_t {
  JobsPosted,
  JobsDone,
  JobsFailed,
  RefusedNoRoute,
  RefusedNotConfigured,
  RefusedUnsupported,
  RefusedOverloaded,
  RefusedShuttingDown,
  RefusedDuplicate,
  GivenUpLate,
  GivenUpAttempts,
  CallersLeft,
  TasksOffered,
  OffersRefused,
  AttemptsStarted,
  EndsDone,
  EndsFailed,
  EndsStopped,
  EndsLost,
  EndsNotStarted,
  StartsUnanswered,
  StartsFenced,
  StartsRefused,
  HoldsSent,
  HoldsUnanswered,
  TokensRaised,
  TakeOvers,
  TargetsLost,
  HandoversSent,
  HandoversTaken,
  UnknownStopped,
  DatagramsSent,
  MessagesResent,
  OrphansDropped,  ///< queued tasks whose coordinator is silent
  TargetsSetAside, ///< for failing tasks of several jobs
  Count
};
std::string_view nameOf(counter Counter);

struct pool_metrics {
  std::array<std::uint64_t, static_cast<std::size_t>(counter::Count)>
      Counters{};
  std::uint64_t JobsOpen = 0;
  std::uint64_t TasksQueued = 0;
  std::uint64_t AttemptsRunning = 0;
  std::uint64_t TargetsOwned = 0;
  std::uint64_t TargetsListed = 0;
  std::uint64_t PeersHeard = 0;
  std::int64_t ConfigurationVersion = 0;
};
pool_metrics metricsOf(const pool_state &State, boot_time Now);

} // namespace tarragonbridge::pool
