/// Messages between pool hosts.
#pragma once

#include "tarragonbridge/pool/types.h"

#include <optional>
#include <variant>

namespace tarragonbridge::pool {

/// A task in a task_offer.
struct offered_task {
  std::uint32_t Step = 0;
  std::uint32_t Task = 0;
  std::uint32_t AttemptNumber = 1;
  resource_vector RequiredResources;
  milliseconds ExpectedRunTime{};   ///< run time at speed 1
  milliseconds ObjectiveDeadline{}; ///< from now: end of the latency objective
  milliseconds ExpiresIn{};         ///< from now; not started later
  bool MayQueue = false;            ///< else rejected if it would be late there
  std::string AvoidTarget; ///< where an earlier attempt failed, may be empty
  bool RunsAlone = false;  ///< a target may have crashed under it
};

/// Asks an owner of targets to run tasks of a job.
struct task_offer {
  std::string Job;
  std::string Service;
  int Priority = 0;
  std::string Specification;
  std::vector<offered_task> Tasks;
};

/// Rejects tasks of an offer for lack of capacity; none of them was started.
struct offer_refused {
  std::vector<attempt_ref> Attempts;
  milliseconds PredictedQueueWait{}; ///< until a queued task would start there
};

struct task_ended {
  attempt_ref Attempt;
  attempt_outcome Outcome = attempt_outcome::Done;
  std::string Target;
  milliseconds RunTime{};
};

/// The coordinator no longer needs these attempts. A host that isn't the
/// coordinator of a job passes on that its caller cancelled it.
struct tasks_cancelled {
  std::vector<attempt_ref> Attempts;
  std::vector<std::string> Jobs = {}; ///< by id; ignored by earlier versions
};

/// The sender now owns the target of these attempts, in place of the owner
/// that they were offered to.
struct attempts_reassigned {
  std::vector<attempt_ref> Attempts;
  /// Fencing token of the sender for the target, above that of any earlier
  /// owner; 0: from a host of a version that doesn't tell it.
  std::uint64_t Token = 0;
};

/// The sender got these jobs from callers that must have left the receiver. It
/// waits until the receiver doesn't list them any more.
struct jobs_resubmitted {
  std::vector<std::uint64_t> Jobs; ///< digests, as in host_state
};

/// An attempt that runs, or may run, on a target that is handed over.
struct handover_attempt {
  attempt_ref Attempt;
  host_ref Coordinator;
  resource_vector RequiredResources;
  milliseconds ExpectedRunTime{};
  milliseconds Age{};
  bool IsConfirmed = false; ///< the target has confirmed that it runs
};

/// Hands a target over to another owner.
struct target_handover {
  std::string Target;
  std::uint64_t Token = 0;
  std::uint64_t LastOutcomeNumber = 0;
  std::int64_t Incarnation = 0;
  double Speed = 1;
  std::vector<handover_attempt> Attempts;
};

using peer_message =
    std::variant<task_offer, offer_refused, task_ended, tasks_cancelled,
                 attempts_reassigned, target_handover, jobs_resubmitted>;

/// Numbers of targets that crashed under a task.
struct crash_count {
  std::uint32_t Confirmed = 0; ///< restarted, or removed after a silence
  std::uint32_t Suspected = 0; ///< silent since; may only be partitioned

  bool operator==(const crash_count &) const = default;
  std::uint32_t total() const { return Confirmed + Suspected; }
  void add(bool IsConfirmed) { ++(IsConfirmed ? Confirmed : Suspected); }
  crash_count &operator+=(const crash_count &Other) {
    Confirmed += Other.Confirmed;
    Suspected += Other.Suspected;
    return *this;
  }
};
using crash_summary = std::map<task_ref, crash_count>;

/// Free capacity of one target, as advertised by its owner.
struct target_free_capacity {
  std::string Target;
  std::string Service;
  resource_vector Free;
  double Speed = 1;
  bool IsSpeedMeasured = false; ///< on it, not only on others of its kind
  std::uint64_t Token = 0;      ///< fencing token of the owner
  bool IsSchedulable = true; ///< false: draining, unresponsive or quarantined
};

/// State that a host advertises to its peers; the newest replaces all earlier
/// ones.
struct host_state {
  bool IsShuttingDown = false;
  std::int64_t ConfigurationVersion = 0;
  milliseconds PredictedQueueWait{}; ///< until a newly queued task would start
  std::uint32_t Slots = 0;           ///< tasks that its targets can run at once
  std::vector<target_free_capacity> Targets;
  crash_summary Crashes = {}; ///< of its targets, recently
  /// Whether it can own targets: it is registered, and knows hosts, targets and
  /// evacuations.
  bool CanOwnTargets = true;
  /// As this host last read or was told them, with those that have ended.
  std::vector<evacuation_record> Evacuations = {};
  /// Digests of the sender's jobs that other hosts must not run, sorted: jobs
  /// that have been open for a while, and ended ones with attempts that may
  /// still run.
  std::vector<std::uint64_t> OpenJobs = {};
};

/// A datagram between two hosts: the latest host state, reliable messages and
/// acknowledgements.
struct datagram {
  host_ref From;
  std::string FailureDomain;
  std::uint64_t ReceiverIncarnation = 0; ///< 0: not known yet
  std::uint64_t StateNumber = 0;
  /// Latest state of the receiver that the sender has received. The receiver
  /// knows when it sent that one, and so the greatest age of the datagram.
  std::uint64_t AckedStateNumber = 0;
  /// Latest state of the receiver of which the sender holds the content. A
  /// state can be acknowledged without: each datagram tells its number.
  std::uint64_t HeldStateNumber = 0;
  std::optional<host_state> State;
  std::uint64_t Epoch = 0;      ///< of the sender's message numbers
  std::uint64_t AckedEpoch = 0; ///< epoch of the receiver that the acks are for
  std::uint64_t AckedUpTo = 0; ///< cumulative: all up to this one were received
  std::vector<std::uint64_t> SelectiveAcks;
  struct numbered_message {
    std::uint64_t Number = 0;
    peer_message Message;
  };
  std::vector<numbered_message> Messages;
};

/// @returns an encoded state, for encodeDatagram
std::string encodeState(const host_state &State);
/// Takes the state encoded, since the same one is sent to many hosts.
///
/// @param[in] State result of encodeState, empty to send none
/// @returns the bytes to send
std::string encodeDatagram(const datagram &Datagram, std::string_view State);
/// @returns the datagram, or nothing if the bytes are malformed
std::optional<datagram> decodeDatagram(std::string_view Bytes);

} // namespace tarragonbridge::pool
