/// Every tunable of the dispatcher, with its unit.
#pragma once

#include "tarragonbridge/retry_budget.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace tarragonbridge::config {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Requests of callers.
constexpr std::size_t MaxTasksPerJob = 1000;
constexpr std::size_t MaxBodyBytes = 8U << 20U;
/// A body has at most the memory of the process divided by this: decoded, it
/// takes several times its size.
constexpr std::size_t BodyMemoryDivisor = 16;
constexpr std::size_t MaxKeyBytes = 128;
constexpr std::size_t MaxJsonDepth = 64;
constexpr std::size_t MaxJsonValues = 500'000; ///< of a document
constexpr milliseconds DefaultTimeLimit{30'000};
constexpr milliseconds MaxTimeLimit{600'000};
constexpr milliseconds DefaultExpectedRunTime{200};
/// Requests that wait for jobs which were submitted before, on a host of
/// DefaultMemoryMb.
constexpr std::size_t MaxWaiters = 4'000;

// Clocks and kept answers.
constexpr milliseconds MaxClockSkew{2'000};
constexpr milliseconds AnswerRetention{900'000};
constexpr std::size_t MaxKeptAnswerBytes = 96U << 20U;
constexpr std::size_t MaxKeptJobs = 1'500'000;

// Queues.
constexpr std::size_t MaxQueuedTasks = 100'000;
constexpr std::size_t MaxJobBytes = 256U << 20U; ///< of jobs that run or wait
/// A job's place in its team's queue: arrival + stretch * longest task.
constexpr int QueueStretch = 4;

// Predicted lateness.
constexpr int DeclaredTimeMargin = 10; ///< declared times are off by this
constexpr int FastTargetMargin = 2;    ///< fastest speed over the average

// Health of targets.
constexpr std::uint32_t FailuresUntilAside = 3; ///< jobs in a row
constexpr milliseconds MinAsideTime{2'000};
constexpr milliseconds MaxAsideTime{60'000};
constexpr double MaxAsidePart = 0.5; ///< of a failure domain's targets

// Shares of entry hosts.
/// Period after which units that are too few for all hosts change holders.
constexpr milliseconds ShareTurn{1'000};

// Attempts.
constexpr milliseconds TaskLease{2'000};
constexpr milliseconds LeaseRenewInterval{500};
constexpr milliseconds LeaseMargin{500};
constexpr milliseconds RenewTimeout{1'000};
constexpr std::uint32_t MaxUnansweredRenewals = 2;
constexpr milliseconds StopTimeout{1'000};
constexpr milliseconds RefusalBackoff{20};
constexpr milliseconds RetryBackoff{10};
constexpr milliseconds MaxBackoff{1'000};
constexpr std::uint32_t MaxAttemptsPerTask = 5;
constexpr std::uint32_t DefaultRetryPercent = 20; ///< of first attempts
constexpr retry_budget_limits TeamRetryBudget{.PerAttempt = 0.2, .Burst = 100};
constexpr retry_budget_limits TargetRetryBudget{.PerAttempt = 0.2, .Burst = 10};

// Placement.
constexpr milliseconds LeavingHold{20'000}; ///< past the host list's lag
constexpr milliseconds ForeignTrip{3}; ///< to another failure domain and back
constexpr milliseconds MinSlotProbeInterval{50};
constexpr milliseconds MaxSlotProbeInterval{4'000};

// Learnt run times.
constexpr double RunTimeMemoryTasks = 200; ///< finished tasks that weigh most
constexpr std::size_t MinRunTimeSamples = 3;
constexpr std::size_t MaxRunTimeClasses = 10'000;

// Connections. What they may hold is derived from the process's limits.
constexpr std::uint32_t DefaultMemoryMb = 1'024;
constexpr std::uint32_t MinMemoryMb = 32;
constexpr std::uint32_t MinFileDescriptors = 300;
constexpr unsigned MaxCallerConnections = 4'000; ///< of a server by itself
constexpr unsigned ServerThreads = 2;
constexpr seconds ServerIdleTimeout{30};
/// From the headers of a request to its end: 8 MiB at 1.2 Mbit/s.
constexpr milliseconds MaxUploadTime{60'000};
constexpr milliseconds ConnectTimeout{1'000};
constexpr long MaxConnectionsPerTarget = 20;
constexpr long ControlConnectionsPerTarget = 2; ///< for renewals and stops

// Calls between entry hosts.
constexpr std::size_t MaxPeerRequestBytes = 256U << 10U;
constexpr std::size_t MaxClaimsPerCall = 500;
constexpr std::size_t MaxClaims = 200'000;
constexpr milliseconds ClaimTimeout{2'000};
constexpr milliseconds FetchWait{5'000};
constexpr milliseconds FetchTimeoutMargin{1'000};
constexpr long MaxConnectionsPerPeer = 200;
constexpr milliseconds HeartbeatInterval{1'000};
constexpr std::size_t HeartbeatsPerInterval = 2;
constexpr milliseconds HeartbeatTimeout{1'000};
constexpr milliseconds LoadLifetime{15'000};
constexpr std::size_t MaxTeamsPerHeartbeat = 1'000;
constexpr milliseconds MemberRetention = AnswerRetention;

// The platform's store.
constexpr milliseconds StoreTimeout{3'000};
constexpr milliseconds StoreRefreshInterval{1'800'000}; ///< of whole reads
constexpr double StoreCallsPerSecond = 10;              ///< budget of one host
constexpr double StoreCallBurst = 30;                   ///< calls
constexpr milliseconds StoreBackoffFirst{100};
constexpr milliseconds StoreBackoffMost{3'000};
constexpr milliseconds WatchSilence{3'000}; ///< renewed when silent for longer
constexpr std::size_t MaxWatchLineBytes = 64U << 20U;

// Settings.
constexpr std::size_t MaxSettingsBytes = 64U << 10U; ///< of one subtree
constexpr std::size_t MaxStoredBytes = 512U << 10U;  ///< with its history
constexpr std::size_t MaxSettingsHistory = 20;       ///< versions
constexpr std::size_t MaxSettingsPathBytes = 128;
constexpr std::size_t MaxSettingsNoteBytes = 1'000; ///< of `why`
constexpr std::size_t MaxOperators = 32;            ///< of one subtree
constexpr milliseconds SettingsWriteTime{10'000};   ///< to settle an edit
constexpr std::size_t MaxOperatorRequests = 64;     ///< waiting

// Shutdown.
constexpr milliseconds MaxShutdownTime{60'000};

} // namespace tarragonbridge::config
