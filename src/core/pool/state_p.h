/// State of a pool host. Each part belongs to the module that is named.
#pragma once

#include "core/pool/counters_p.h"
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

/// Another entry host. Module peers.
struct peer_host {
  member_record Member;
  bool IsRegistered = false; ///< in the store, as last read
  boot_time KnownSince;
  boot_time LastReceivedAt; ///< epoch: never in this incarnation
  std::uint64_t StateNumber = 0;
  bool HasState = false;
  host_state State;
  bool IsNeighbour = false;
  bool IsStateUnsent = true; ///< no state was sent to it yet
  peer_link Link;
  /// Room promised to tasks on their way, which its state doesn't show yet.
  struct reservation {
    boot_time At;
    std::string Target; ///< empty: queued
    resource_vector RequiredResources;
    milliseconds RunTime{}; ///< run time, for queued ones
  };
  std::deque<reservation> Reservations;
};

inline void recordTerm(std::map<std::string, std::uint64_t, std::less<>> &Terms,
                       const std::string &Target, std::uint64_t Term) {
  std::uint64_t &Known = Terms[Target];
  Known = std::max(Known, Term);
}

/// @returns whether a peer was heard within a time
inline bool peerReceivedWithin(const peer_host &Peer, boot_time Now,
                               milliseconds Within) {
  return Peer.LastReceivedAt != boot_time{} &&
         Peer.LastReceivedAt + Within >= Now;
}

/// What is known of a listed target beside its record. Module ownership.
struct listed_target {
  target_record Record;
  boot_time NotBefore; ///< no take-over before, after another host took it
  std::optional<boot_time> MissingSince; ///< in the platform's list
  boot_time LastClaimedAt; ///< when another host ceased to say that it owns it

  speed_estimate Speed;
  boot_time SpeedMeasuredAt; ///< when the speed was last measured
};

/// A running mean of what tasks need.
struct mean_resources {
  double CpuMilli = 0;
  double MemoryMb = 0;
  double Weight = 0; ///< tasks behind the mean, bounded

  void addSample(const resource_vector &Needs) {
    constexpr double Memory = 50; // tasks
    Weight = std::min(Weight + 1, Memory);
    CpuMilli += (static_cast<double>(Needs.CpuMilli) - CpuMilli) / Weight;
    MemoryMb += (static_cast<double>(Needs.MemoryMb) - MemoryMb) / Weight;
  }
};

/// Module owner.
struct owner_state {
  std::map<std::string, owned_target, std::less<>> OwnedTargets; ///< by target
  std::vector<queued_task> Queue; ///< sorted by urgency
  /// Lately, so that an offer that they overtook is not taken.
  std::map<std::pair<host_ref, attempt_ref>, boot_time> Cancelled;
  /// Of targets where a task failed and none was done since.
  std::map<std::string, target_health, std::less<>> Health;
  mean_resources MeanTaskResources; ///< of tasks offered lately
  bool CapacityChanged = true;      ///< since the latest state was sent
  bool QueueScanDue = true; ///< room or queue changed since the latest look
  boot_time QueueScannedAt; ///< the latest look for tasks to start

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
  std::uint32_t Failures = 0;
  std::uint32_t Rejections = 0; ///< refusals by owners since the latest attempt
  std::string AvoidTarget;
  milliseconds EstimatedRunTime{};
  resource_vector RequiredResources;
};

struct open_job {
  std::string Id;
  std::vector<request_handle> Requests; ///< the first, and resubmissions
  route Route;
  std::string Specification;
  std::vector<job_task> Tasks;
  boot_time SubmittedAt;
  boot_time ObjectiveDeadline; ///< the end of the latency objective
  boot_time ExpiresAt;         ///< given up then
  boot_time AwaitsOwnerUntil;  ///< refused then if no target has an owner
  milliseconds PredictedEnd{}; ///< when it was placed, from its posting
  bool AwaitsOwner = false;    ///< waits until any target has an owner
  bool MayHaveRun = false;
};

struct coordinator_state {
  std::map<std::string, open_job, std::less<>> Jobs;    ///< by id
  std::unordered_map<std::uint64_t, std::string> JobOf; ///< by request
  /// What is kept of a job that ended lately, for its resubmission.
  struct ended_job {
    bool IsDone = false;
    std::uint32_t LastAttemptNumber = 0;
  };
  std::map<std::string, ended_job, std::less<>> Ended;
  std::deque<std::pair<boot_time, std::string>> EndedOrder; ///< oldest first
  run_time_estimator RunTimeEstimator;
  /// Part of all slots whose owners had tasks waiting, over the last second.
  double Saturation = 0;
};

/// Which host should own each target, and what that was worked out from.
/// Module ownership.
struct assignment_state {
  std::vector<host_location> Hosts;
  std::uint64_t ListVersion = 0;
  std::map<std::string, std::string> Owners; ///< by target
  std::vector<std::string> Own;              ///< those of this host
};

struct pool_state {
  pool_init Init;
  counters Counters;
  configuration Configuration; ///< version 0: none yet
  bool HasMembers = false;     ///< the list of hosts was read
  bool HasTargets = false;
  bool StoreIsReachable = false;
  boot_time StoreRegainedAt;     ///< epoch: it was never lost
  std::uint64_t OwnerNumber = 0; ///< 0: not registered yet
  boot_time AssignmentNotBefore;
  boot_time OwnersKnownBy; ///< owners that live have told what they own by then
  boot_time AssignmentDueAt;
  boot_time SummaryDueAt;
  boot_time ConfigurationReadAt; ///< beside the watch
  boot_time OverdueCheckAt;      ///< next look for attempts that take too long
  std::map<std::string, listed_target, std::less<>> Targets;
  std::uint64_t ListVersion = 1; ///< rises as targets come, move and go
  assignment_state Assignment;
  /// Highest terms that owners told or this host used, by target; kept when a
  /// target leaves the list, since it may come back.
  std::map<std::string, std::uint64_t, std::less<>> KnownTerms;
  std::map<std::string, double, std::less<>> KindSpeeds; ///< means
  std::map<std::string, peer_host, std::less<>> Peers;
  owner_state Owner;
  coordinator_state Coordinator;
  std::mt19937_64 Random;
  std::uint64_t StateNumber = 0;
  boot_time StateSentAt;             ///< to neighbours
  boot_time NonNeighbourStateSentAt; ///< to the others
  /// States sent lately, by number, the oldest first.
  std::deque<std::pair<std::uint64_t, boot_time>> SentStates;
  /// Messages of this host to itself, handled before the event ends.
  std::deque<peer_message> LoopbackMessages;
  bool IsShuttingDown = false;
  bool HasHandedOver = false;
  bool IsShutdownFinished = false;
  boot_time ShutdownStartedAt;
  boot_time ShutdownDeadline;
};

/// @returns when a process of a host was heard last; now for this one
boot_time lastReceivedAt(const pool_state &State, const host_ref &Host,
                         boot_time Now);

/// What the modules' functions share while one event is handled.
struct reducer_context {
  pool_state &State;
  boot_time Now;
  std::vector<effect> &Effects;

  ownership_context ownershipContext() const {
    return {Now,
            State.Init.MaxLeaseTime,
            State.OwnerNumber,
            State.Init.Rules,
            State.Counters,
            Effects,
            [this](const host_ref &Host) {
              return lastReceivedAt(State, Host, Now);
            }};
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

// Module peers: membership, datagrams, what hosts know of each other.

void handleMembers(reducer_context &Ctx, members_listed &&Listed);
void handleDatagram(reducer_context &Ctx, datagram_received &&Received);
/// Chooses this host's neighbours among those that live.
void chooseNeighbours(reducer_context &Ctx);
/// Passes a message to the module that it is for.
void handleMessage(reducer_context &Ctx, const host_ref &From,
                   peer_message &&Message);
/// Sends a message to a host, which may be this one.
void sendMessage(reducer_context &Ctx, const host_ref &To,
                 peer_message Message);
/// Sends the datagrams that are due.
void flushDatagrams(reducer_context &Ctx);
boot_time nextDatagramAt(const pool_state &State, boot_time Now);
/// @returns whether a host was heard within a time
bool hostReceivedWithin(const pool_state &State, const host_ref &Host,
                        boot_time Now, milliseconds Within);
/// @returns whether the hosts near to this one have told what they own, or
/// have had the time
bool haveOwnersAdvertised(const pool_state &State, boot_time Now);
/// @returns whether targets may be dealt to a peer
bool isAlive(const pool_state &State, const peer_host &Peer, boot_time Now);

// Module ownership: which targets this host owns.

void handleTargets(reducer_context &Ctx, targets_listed &&Listed);
void handleHandover(reducer_context &Ctx, target_handover &&Handover);
/// Takes over, hands over and drops targets as the dealing says.
void applyAssignment(reducer_context &Ctx);
/// Hands every target to another host. @returns whether none is left
bool handOverAll(reducer_context &Ctx);

// Module owner: tasks on the own targets.

void handleOffer(reducer_context &Ctx, const host_ref &From,
                 task_offer &&Offer);
void cancelTasks(reducer_context &Ctx, const host_ref &From,
                 const tasks_cancelled &Cancelled);
/// Passes on ends, starts what is queued, sends holds that are due.
void runTargets(reducer_context &Ctx);
/// Learns the speeds of kinds of targets from those of all hosts.
void updateKindSpeeds(reducer_context &Ctx);
/// Stops the tasks of coordinators that are gone.
void stopOrphans(reducer_context &Ctx);
/// Forgets the cancelled tasks whose offers can't come any more.
void evictCancelled(reducer_context &Ctx);
/// @returns what this host tells of its room
host_state makeHostState(const pool_state &State, boot_time Now);
boot_time nextTargetTimerAt(const pool_state &State, boot_time Now);

// Module coordinator: jobs that this host answers for.

void submitJob(reducer_context &Ctx, job_submitted &&Posted);
/// Places all tasks of a job that hasn't begun, or refuses it whole.
void placeJob(reducer_context &Ctx, open_job &Job);
void queryJob(reducer_context &Ctx, const job_queried &Asked);
void detachCaller(reducer_context &Ctx, const caller_left &Left);
void handleOfferRefused(reducer_context &Ctx, const host_ref &From,
                        const offer_refused &Refused);
void handleTaskEnded(reducer_context &Ctx, const task_ended &Ended);
void handleReassignment(reducer_context &Ctx, const host_ref &From,
                        const attempts_reassigned &Moved);
/// Takes a reading of how many hosts have tasks waiting.
void sampleSaturation(reducer_context &Ctx);
/// Gives up what has become useless, or whose owners are gone.
void expireJobs(reducer_context &Ctx);
/// Ends every job before the process is killed.
void abandonAllJobs(reducer_context &Ctx);
boot_time nextJobTimerAt(const pool_state &State);

// Module configuration.

/// Reads the configuration again if it is time, or if a peer has a newer one.
void checkConfiguration(reducer_context &Ctx);

// Routes.

/// @returns the route with the longest prefix, nullptr if there is none
const route *findRoute(const configuration &Configuration,
                       std::string_view HostName, std::string_view Path);

} // namespace tarragonbridge::pool
