/// A pool host: a pure reducer that turns events into effects.
#pragma once

#include "tarragonbridge/pool/config.h"
#include "tarragonbridge/pool/events.h"

#include <array>
#include <memory>

namespace tarragonbridge::pool {

/// Safety rules of ownership. Tests turn one off to show what it prevents.
struct ownership_rules {
  /// A raised token fences off a command that is in doubt and arrives late.
  bool RaiseTokenInDoubt = true;
  /// Attempts in a listing that the owner doesn't know are stopped.
  bool StopUnknownAttempts = true;
  /// An owner whose token is refused starts nothing more on the target.
  bool YieldWhenFenced = true;
  /// Attempts on an unresponsive target are lost only when their lease expired.
  bool WaitForLeaseExpiry = true;
  /// Leases end a bounded time after the last contact with the coordinators.
  bool BoundLeaseByCoordinatorContact = true;
  /// Attempts are stopped when their coordinator has timed out.
  bool StopOrphans = true;
  /// Targets of evacuated failure domains get no new attempts, and a host
  /// starts none before it knows which these are.
  bool HonourEvacuations = true;
};

/// What a pool host may hold.
struct pool_limits {
  /// Records of ended jobs, and of cancellations of jobs that aren't here.
  std::size_t MaxEndedJobs = 0;
  std::size_t MaxCancelledJobs = 0;
  /// Messages to peers that are unacknowledged while cancellations of jobs that
  /// aren't here are passed on.
  std::size_t MaxUnackedMessages = 0;
  /// Peers that no list of hosts has shown.
  std::size_t MaxUnlistedPeers = 0;
};

/// Derives the limits of a pool host from the memory of its process.
pool_limits makePoolLimits(std::size_t MemoryBytes);

struct pool_init {
  std::string Name;
  std::string FailureDomain;
  std::uint64_t Incarnation = 0; ///< chosen at start, never 0
  std::uint64_t RandomSeed = 1;
  milliseconds MaxLeaseTime{1'000}; ///< longest that targets grant
  ownership_rules Rules{};          ///< all on except in tests
  pool_limits Limits = makePoolLimits(config::DefaultMemoryBytes);
};

/// State of a pool host; its fields are internal.
struct pool_state;
struct pool_deleter {
  void operator()(pool_state *State) const;
};
using pool_host = std::unique_ptr<pool_state, pool_deleter>;

pool_host makePoolHost(const pool_init &Init);

/// @returns the incarnation given to makePoolHost
std::uint64_t incarnationOf(const pool_state &State);

/// Applies one event.
///
/// @param[in] Now time of this event; must not decrease from call to call
/// @param[out] Effects appended to; to be executed in this order
/// @remarks No I/O, no clock, no thread. Calls must not overlap.
void reduce(pool_state &State, event &&Event, boot_time Now,
            std::vector<effect> &Effects);

/// @returns when the next timer_fired is due
boot_time nextTimerAt(const pool_state &State);

/// Counters of a pool host. Their names in the metrics follow this order, see
/// nameOf().
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
  RefusedNoMemory, ///< this host holds too many bytes of jobs
  RefusedSuspect,  ///< targets are silent since they started a task of the job
  RefusedCancellations, ///< too many of jobs that aren't here
  RefusedEvacuated,     ///< all failure domains are evacuated
  GivenUpLate,
  GivenUpAttempts,
  GivenUpCrashes,     ///< targets crashed under a task of the job
  GivenUpPaused,      ///< this process stood still while the job was open
  GivenUpUnproved,    ///< the caller may have submitted the job to another host
  GivenUpResubmitted, ///< the caller had submitted the job to another host
  CallersLeft,
  TasksOffered,
  OffersRefused,
  TasksHeld, ///< several targets may have crashed under them
  AttemptsStarted,
  EndsDone,
  EndsFailed,
  EndsStopped,
  EndsLost,
  EndsCrashed,
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
  OrphansDropped,  ///< queued tasks whose coordinator timed out
  TargetsSetAside, ///< quarantined for failing tasks of several jobs
  TasksDisplaced,  ///< from a full queue, by tasks that cost more to refuse
  MessagesDropped, ///< too many to their receiver were unacknowledged
  Pauses,          ///< of this process, longer than config::PauseThreshold
  ReassignmentsRepeated, ///< to a coordinator, in a new session with it
  StrangersDropped,      ///< peers that no list has shown: too many others were
                         ///< known
  WithdrawalsRequested,  ///< of jobs that are still open at another host
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
  std::uint64_t PeersReachable = 0;
  std::uint64_t PeersKnown = 0;
  std::int64_t ConfigurationVersion = 0;
  std::uint64_t EvacuatedDomains = 0; ///< with listed targets
  std::uint64_t EvacuatedTargets = 0; ///< listed ones
};
pool_metrics metricsOf(const pool_state &State, boot_time Now);

} // namespace tarragonbridge::pool
