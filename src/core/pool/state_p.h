/// State of a pool host. Each structure belongs to the module named with it.
#pragma once

#include "core/pool/counters_p.h"
#include "core/pool/crash_log_p.h"
#include "core/pool/evacuations_p.h"
#include "core/pool/owned_target_p.h"
#include "core/pool/peer_link_p.h"
#include "core/pool/placement_p.h"
#include "core/pool/speeds_p.h"
#include "core/pool/target_assignment_p.h"
#include "tarragonbridge/pool/pool.h"
#include "tarragonbridge/target_health.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace tarragonbridge::pool {

/// Jobs that a process of a peer has listed as open. Module resubmissions.
struct listed_jobs {
  std::vector<std::uint64_t> Digests; ///< sorted
  boot_time ReceivedAt;               ///< epoch: never
};

/// Another host. Module peers.
struct peer_host {
  member_record Member;
  bool IsRegistered = false; ///< in the store, as last read
  boot_time KnownSince;
  boot_time LastReceivedAt; ///< epoch: never, of this incarnation
  /// When this host sent the latest state that the peer has acknowledged: its
  /// process was alive later than that. A datagram may be read long after its
  /// sender has ended.
  boot_time AliveAt;
  std::uint64_t StateNumber = 0; ///< of the latest state received from it
  std::uint64_t StateNumberBeforePause = 0; ///< the same before the last pause
  bool HasState = false;
  host_state State;
  std::uint64_t HeldStateNumber = 0; ///< number of State
  listed_jobs OpenJobs;
  listed_jobs FormerOpenJobs; ///< of the peer's earlier process
  /// Latest state of this host of which the peer has the content.
  std::uint64_t KnownStateNumber = 0;
  boot_time KnownStateSentAt;
  bool IsNeighbour = false;
  bool NeedsState = true; ///< at once: it is new, or can't have confirmed one
  peer_link Link;
  /// Capacity reserved for offered tasks that its state doesn't show yet.
  struct reservation {
    boot_time ReservedAt;
    std::string Target; ///< empty: to be queued
    resource_vector RequiredResources;
    milliseconds RunTime{}; ///< for tasks to be queued
  };
  std::deque<reservation> Reservations;
};

/// What a process of a peer told of crashes before it was evicted or ended.
struct departed_crashes {
  crash_summary Crashes;
  boot_time DepartedAt;
};

inline void recordTerm(std::map<std::string, std::uint64_t, std::less<>> &Terms,
                       const std::string &Target, std::uint64_t Term) {
  std::uint64_t &Known = Terms[Target];
  Known = std::max(Known, Term);
}

/// @returns whether a datagram of a peer was received within a time
inline bool peerReceivedWithin(const peer_host &Peer, boot_time Now,
                               milliseconds Within) {
  return Peer.LastReceivedAt != boot_time{} &&
         Peer.LastReceivedAt + Within >= Now;
}

/// A target that the platform lists, and what is known of it. Module ownership.
struct listed_target {
  target_record Record;
  /// Set when this host has lost it to another.
  boot_time NoTakeOverBefore;
  std::optional<boot_time> MissingSince; ///< from the platform's list
  boot_time LastClaimedAt; ///< when another host stopped advertising it

  speed_estimate Speed;
  boot_time SpeedMeasuredAt; ///< when the speed was last measured
  boot_time ColdUntil;       ///< it runs tasks slowly until then
};

/// Moving mean of the resources that tasks require.
struct mean_resources {
  double CpuMilli = 0;
  double MemoryMb = 0;
  double Weight = 0; ///< tasks in the mean, bounded by its window

  void addSample(const resource_vector &Required) {
    constexpr double WindowTasks = 50;
    Weight = std::min(Weight + 1, WindowTasks);
    CpuMilli += (static_cast<double>(Required.CpuMilli) - CpuMilli) / Weight;
    MemoryMb += (static_cast<double>(Required.MemoryMb) - MemoryMb) / Weight;
  }
};

/// Module owner.
struct owner_state {
  std::map<std::string, owned_target, std::less<>> OwnedTargets; ///< by target
  std::vector<queued_task> Queue; ///< sorted by urgency
  /// Recently cancelled attempts, so that an offer that arrives after its
  /// cancellation is refused.
  std::map<std::pair<host_ref, attempt_ref>, boot_time> Cancelled;
  /// Of targets with a failed task and none done since.
  std::map<std::string, target_health, std::less<>> Health;
  crash_log Crashes;
  mean_resources MeanTaskResources; ///< of recently offered tasks
  bool CapacityChanged = true;      ///< since the latest state was sent
  bool QueueScanDue = true; ///< capacity or queue changed since the latest scan
  boot_time QueueScannedAt; ///< the latest scan for tasks to start

  void markCapacityChanged() {
    CapacityChanged = true;
    QueueScanDue = true;
  }
};

enum class task_phase : std::uint8_t { Unplaced, Offered, Done };

/// A task of a job that this host coordinates. Module coordinator.
struct job_task {
  std::uint32_t Step = 0;
  std::uint32_t Index = 0;
  task_phase Phase = task_phase::Unplaced;
  std::uint32_t AttemptNumber = 0; ///< of the latest attempt
  host_ref Owner;                  ///< of the latest attempt
  /// Of the owner that the attempt was last reassigned to, 0 if it wasn't.
  std::uint64_t OwnerToken = 0;
  std::uint32_t Failures = 0;
  std::uint32_t Rejections = 0; ///< refusals by owners since the latest attempt
  std::string AvoidTarget;
  crash_count Crashes; ///< of targets while attempts at it ran
  /// Since when it isn't placed since several targets may have crashed under
  /// it.
  boot_time HeldSince;
  milliseconds EstimatedRunTime{};
  resource_vector RequiredResources;
};

/// Why a job is withdrawn.
struct withdrawal {
  std::string_view Reason; ///< in the log
  counter Counter = counter::GivenUpPaused;
};

struct open_job {
  std::string Id;
  /// Of the first submission and of resubmissions.
  std::vector<request_handle> Requests;
  route Route;
  std::string Specification;
  std::vector<job_task> Tasks;
  boot_time SubmittedAt;
  boot_time CallerSeenAt;      ///< the latest submission
  boot_time ObjectiveDeadline; ///< the end of the latency objective
  boot_time ExpiresAt;         ///< abandoned then
  boot_time AwaitsOwnerUntil;  ///< refused then if no target has an owner
  milliseconds PredictedEnd{}; ///< at its placement, from its submission
  bool AwaitsOwner = false;    ///< no target has an owner yet
  bool MayHaveRun = false;
  /// Its callers may have been served elsewhere: its tasks are cancelled and
  /// not placed again. It is done only if all outcomes are on their way.
  std::optional<withdrawal> Withdrawal;
  /// Number of the first of the states that have listed it since, 0: none has.
  std::uint64_t ListedSince = 0;
  std::set<std::string> AskedHosts; ///< to withdraw their submission of it
};

/// A job that has ended while attempts at its tasks may still run. Module
/// resubmissions.
struct ending_job {
  struct attempt {
    std::uint32_t Step = 0;
    std::uint32_t Task = 0;
    std::uint32_t AttemptNumber = 0;
    bool operator==(const attempt &) const = default;
  };
  std::vector<attempt> Attempts; ///< that aren't known to have ended
  boot_time SubmittedAt;
  boot_time EndsBy;                   ///< no lease on them lasts longer
  std::set<std::string> WaitingHosts; ///< to which it has been submitted again
};

struct coordinator_state {
  std::map<std::string, open_job, std::less<>> Jobs;             ///< by id
  std::unordered_map<std::uint64_t, std::string> JobIdByRequest; ///< by request
  std::map<std::string, ending_job, std::less<>> EndingJobs;     ///< by id
  /// Open jobs that wait for attempts of earlier submissions to end.
  std::set<std::string> UnreleasedJobs;
  /// What is kept of a job that ended recently, for its resubmission.
  struct ended_job {
    /// Also that of late copies of its submission; none if it may be submitted
    /// again.
    std::optional<response_kind> FinalResponse;
    std::uint32_t LastAttemptNumber = 0;
    crash_summary Crashes;
    boot_time EndedAt;
  };
  std::map<std::string, ended_job, std::less<>> EndedJobs;
  using record_order = std::deque<std::pair<boot_time, std::string>>;
  record_order EndedJobOrder; ///< of EndedJobs, oldest first
  /// Of those records that only tell of a cancellation. They have an order of
  /// their own, so that they push out no record of a job that has run.
  record_order CancelledJobOrder;
  run_time_estimator RunTimeEstimator;
  /// Fraction of all slots whose owners had queued tasks, over the last second.
  double Saturation = 0;
};

/// Which host should own each target, and the inputs of that assignment. Module
/// ownership.
struct assignment_state {
  std::vector<host_location> Hosts;
  std::uint64_t TargetListVersion = 0;
  std::map<std::string, std::string> Owners; ///< by target
  std::vector<std::string> Own;              ///< those of this host
};

/// What this process knows of its own pauses. Module pauses.
struct pause_state {
  boot_time LastEventAt; ///< of the latest event, epoch: none yet
  boot_time ResumedAt;   ///< the end of the latest pause, epoch: none yet
  /// Until CallersCheckedBy, departures of callers are known up to this time
  /// only.
  boot_time CallersKnownAt;
  boot_time CallersCheckedBy;
  /// Until then, silences of peers prove nothing: they include the pause.
  boot_time PeersCheckedBy;
  /// Until then, the jobs that peers listed before the pause prove nothing.
  boot_time JobListsReadBy;
};

struct pool_state {
  pool_init Init;
  counters Counters;
  boot_time StartedAt;            ///< the first event
  configuration Configuration;    ///< version 0: none yet
  bool HasMemberSnapshot = false; ///< the list of hosts was received
  bool HasTargetSnapshot = false;
  bool StoreIsReachable = false;
  boot_time StoreReachableAgainAt; ///< epoch: it was never unreachable
  std::uint64_t OwnerNumber = 0;   ///< 0: not registered yet
  boot_time AssignmentNotBefore;
  /// Live owners have advertised their targets by then.
  boot_time OwnersKnownBy;
  boot_time AssignmentDueAt;
  boot_time LoadLogDueAt;
  boot_time ConfigurationPolledAt; ///< in addition to the watch
  boot_time OverdueScanAt;         ///< next scan for overdue attempts
  std::map<std::string, listed_target, std::less<>> Targets;
  evacuation_state Evacuations;
  /// Rises when targets are added, moved or removed.
  std::uint64_t TargetListVersion = 1;
  assignment_state Assignment;
  /// Highest terms that owners advertised or this host used, by target. Kept
  /// when a target is removed from the list, since it may return.
  std::map<std::string, std::uint64_t, std::less<>> KnownTerms;
  /// Mean of each kind of target.
  std::map<std::string, double, std::less<>> KindSpeeds;
  std::map<std::string, peer_host, std::less<>> Peers;
  /// Of processes that have told nothing since.
  std::map<host_ref, departed_crashes> DepartedCrashes;
  owner_state Owner;
  coordinator_state Coordinator;
  pause_state Pause;
  std::mt19937_64 Random;
  std::uint64_t StateNumber = 0;
  boot_time StateSentAt;             ///< to neighbours
  boot_time NonNeighbourStateSentAt; ///< to all other hosts
  /// Recently sent states by number, the oldest first.
  std::deque<std::pair<std::uint64_t, boot_time>> SentStates;
  /// Messages of this host to itself, handled within the same event.
  std::deque<peer_message> LoopbackMessages;
  bool IsShuttingDown = false;
  bool IsHandoverComplete = false;
  bool IsShutdownFinished = false;
  boot_time ShutdownStartedAt;
  boot_time ShutdownDeadline;
};

/// @returns whether a process is this one
bool isSelf(const pool_state &State, const host_ref &Host);
/// @returns the latest time at which a host's process is proved to have been
/// alive, the epoch for one that is not known; for this process, the latest
/// time up to which the departures of its callers are known
boot_time lastAliveAt(const pool_state &State, const host_ref &Host,
                      boot_time Now);

/// What the modules' functions share while one event is handled.
struct reducer_context {
  pool_state &State;
  boot_time Now;
  std::vector<effect> &Effects;

  ownership_context ownershipContext() const {
    return {
        Now,
        State.Init.MaxLeaseTime,
        State.OwnerNumber,
        State.Init.Rules,
        State.Counters,
        Effects,
        [this](const host_ref &Host) { return lastAliveAt(State, Host, Now); }};
  }
  host_ref self() const { return {State.Init.Name, State.Init.Incarnation}; }
  void count(counter Counter, std::uint64_t Count = 1) const {
    State.Counters.add(Counter, Count);
  }
  void observe(time_metric Metric, boot_time Since) const {
    Effects.emplace_back(observe_time{
        Metric, std::chrono::duration_cast<microseconds>(Now - Since)});
  }
  void log(std::string Event,
           std::vector<std::pair<std::string, std::string>> Fields) const {
    Effects.emplace_back(log_line{std::move(Event), std::move(Fields)});
  }
};

// Module peers: membership, datagrams, states of other hosts.

void handleMembers(reducer_context &Ctx, members_listed &&Listed);
void handleDatagram(reducer_context &Ctx, datagram_received &&Received);
/// Chooses this host's neighbours among the live hosts.
void chooseNeighbours(reducer_context &Ctx);
/// Dispatches a message to its module.
void handleMessage(reducer_context &Ctx, const host_ref &From,
                   peer_message &&Message);
/// Sends a message to a host, which may be this one.
void sendMessage(reducer_context &Ctx, const host_ref &To,
                 peer_message Message);
/// @returns how many messages to peers they have not acknowledged
std::size_t unackedCount(const pool_state &State);
/// @returns how long ago the oldest of them was queued, zero if there is none
milliseconds oldestUnackedAge(const pool_state &State, boot_time Now);
/// Sends the datagrams that are due.
void flushDatagrams(reducer_context &Ctx);
boot_time nextDatagramAt(const pool_state &State, boot_time Now);
/// @returns whether a datagram of a host was received within a time
bool hostReceivedWithin(const pool_state &State, const host_ref &Host,
                        boot_time Now, milliseconds Within);
/// @returns whether the hosts of this failure domain have advertised their
/// targets, or have had the time to
bool haveOwnersAdvertised(const pool_state &State, boot_time Now);
/// @returns whether targets may be assigned to a peer
bool isAlive(const pool_state &State, const peer_host &Peer, boot_time Now);

// Module ownership: which targets this host owns.

/// @returns whether this host can own targets. It can't after a start without
/// the store.
bool canOwnTargets(const pool_state &State);

void handleTargets(reducer_context &Ctx, targets_listed &&Listed);
void handleHandover(reducer_context &Ctx, target_handover &&Handover);
/// Tells a coordinator again that its attempts on targets which this host was
/// handed are here now. It cancels those that it has given up.
void repeatReassignments(reducer_context &Ctx, const host_ref &Coordinator);
/// Takes over, hands over and drops targets according to the assignment.
void applyAssignment(reducer_context &Ctx);
/// Hands over every target to another host. @returns whether none is left
bool handOverAll(reducer_context &Ctx);

// Module evacuations: failure domains that get no new attempts.

void handleEvacuations(reducer_context &Ctx, evacuations_listed &&Listed);
/// Handles what came before hosts and targets were known.
void handlePendingEvacuations(reducer_context &Ctx);
/// Takes over what a peer knows later than this host.
void learnEvacuations(reducer_context &Ctx, const std::string &Peer,
                      const std::vector<evacuation_record> &Records);
/// After a pause: reads the evacuations again.
void recheckEvacuations(reducer_context &Ctx, milliseconds PauseTime);
/// @returns whether this host knows which failure domains are evacuated, so
/// that it may start attempts
bool areEvacuationsKnown(const pool_state &State, boot_time Now);
/// @returns whether targets of a failure domain get no new attempts
bool isDomainEvacuated(const pool_state &State, std::string_view FailureDomain);
/// @returns whether a target is listed in such a failure domain
bool isEvacuated(const pool_state &State, std::string_view Target);
/// @returns whether this host owns targets, all in evacuated failure domains
bool ownsOnlyEvacuated(const pool_state &State);
/// @returns whether targets are listed, all in evacuated failure domains
bool areAllEvacuated(const pool_state &State);

// Module owner: tasks on the owned targets.

void handleOffer(reducer_context &Ctx, const host_ref &From,
                 task_offer &&Offer);
void cancelTasks(reducer_context &Ctx, const host_ref &From,
                 const tasks_cancelled &Cancelled);
/// Reports outcomes, starts queued tasks, sends lease renewals that are due.
void processTargets(reducer_context &Ctx);
/// Updates the mean speed of each kind of target from all hosts' measurements,
/// and lets old measurements decay towards it.
void updateKindSpeeds(reducer_context &Ctx);
/// Stops the tasks of coordinators that have timed out.
void stopOrphans(reducer_context &Ctx);
/// Evicts the cancelled tasks whose offers can't arrive any more.
void evictCancelled(reducer_context &Ctx);
/// @returns the state that this host advertises
host_state makeHostState(const pool_state &State, boot_time Now);
boot_time nextTargetTimerAt(const pool_state &State, boot_time Now);

// Module coordinator: jobs that were submitted to this host.

void submitJob(reducer_context &Ctx, job_submitted &&Posted);
/// Places the tasks of a job that hasn't started, or refuses the whole job. Of
/// the tasks that may have crashed a target, only one is placed at a time.
void placeJob(reducer_context &Ctx, open_job &Job);
void queryJob(reducer_context &Ctx, const job_queried &Asked);
/// Cancels a job if it is open here, and records that it was cancelled.
/// @returns whether it was open
bool cancelJob(reducer_context &Ctx, const std::string &Id);
void detachCaller(reducer_context &Ctx, const caller_disconnected &Left);
void handleOfferRefused(reducer_context &Ctx, const host_ref &From,
                        const offer_refused &Refused);
void handleTaskEnded(reducer_context &Ctx, const task_ended &Ended);
void handleReassignment(reducer_context &Ctx, const host_ref &From,
                        const attempts_reassigned &Moved);
/// Gives up the jobs of held tasks whose crashes are confirmed, and places the
/// tasks whose targets were only silent.
void reviewHeldJobs(reducer_context &Ctx);
/// Samples the fraction of slots whose owners have queued tasks.
void sampleSaturation(reducer_context &Ctx);
/// Places waiting jobs, and abandons jobs that have expired or whose owners
/// have timed out.
void expireJobs(reducer_context &Ctx);
/// Withdraws the jobs whose callers may have been served elsewhere, as nothing
/// is known of their departures since a time.
void withdrawJobs(reducer_context &Ctx, boot_time CallersKnownAt);
/// Abandons every job before the process is killed.
void abandonAllJobs(reducer_context &Ctx);
boot_time nextJobTimerAt(const pool_state &State);

// Module configuration.

/// Rereads the configuration if that is due, or if a peer has a newer one.
void pollConfiguration(reducer_context &Ctx);

// Routes.

/// @returns the matching route with the longest prefix, nullptr if none
const route *findRoute(const configuration &Configuration,
                       std::string_view HostName, std::string_view Path);

} // namespace tarragonbridge::pool
