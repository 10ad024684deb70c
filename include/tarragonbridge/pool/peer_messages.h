/// Messages between pool hosts.
#pragma once

#include "tarragonbridge/pool/types.h"

#include <optional>
#include <variant>

namespace tarragonbridge::pool {

/// One task of an offer.
struct offered_task {
  std::uint32_t Step = 0;
  std::uint32_t Task = 0;
  std::uint32_t AttemptNumber = 1;
  resource_vector RequiredResources;
  milliseconds ExpectedRunTime{}; ///< run time at speed 1
  milliseconds
      ObjectiveDeadline{};  ///< from now: the end of the latency objective
  milliseconds ExpiresIn{}; ///< from now; not started after that
  bool MayQueue = false;    ///< else taken only if it will be in time there
  std::string AvoidTarget;  ///< where an earlier attempt failed, may be empty
};

/// Asks the owner of targets to run tasks of a job.
struct task_offer {
  std::string Job;
  std::string Service;
  int Priority = 0;
  std::string Specification;
  std::vector<offered_task> Tasks;
};

/// The owner has no room for these tasks; none of them ran.
struct offer_refused {
  std::vector<attempt_ref> Tasks;
  milliseconds
      PredictedQueueWait{}; ///< predicted, until a queued task starts there
};

struct task_ended {
  attempt_ref Attempt;
  attempt_outcome Outcome = attempt_outcome::Done;
  std::string Target;
  milliseconds RunTime{};
};

/// The coordinator has no use for these tasks any more.
struct tasks_cancelled {
  std::vector<attempt_ref> Tasks;
};

/// Attempts that the sender has taken over from their owner.
struct attempts_reassigned {
  std::vector<attempt_ref> Attempts;
};

/// An attempt that runs, or may run, on a target that changes its owner.
struct handover_attempt {
  attempt_ref Attempt;
  host_ref Coordinator;
  resource_vector RequiredResources;
  milliseconds ExpectedRunTime{};
  milliseconds Age{};
  bool IsConfirmed = false; ///< the target was seen to run it
};

/// Passes a target to another owner.
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
                 attempts_reassigned, target_handover>;

/// Room on one target, as its owner tells it.
struct target_free_capacity {
  std::string Target;
  std::string Service;
  resource_vector Free;
  double Speed = 1;
  bool IsSpeedMeasured = false; ///< learnt there, not only at its kind
  std::uint64_t Token = 0;      ///< the owner's fencing token
  bool IsSchedulable = true;    ///< false: draining, mute or set aside
};

/// What a host tells of itself; the newest replaces all before.
struct host_state {
  bool IsShuttingDown = false;
  std::int64_t ConfigurationVersion = 0;
  milliseconds PredictedQueueWait{}; ///< predicted, until a queued task starts
  std::uint32_t Slots = 0; ///< tasks that run at once when all are busy
  std::vector<target_free_capacity> Targets;
};

/// One datagram.
struct datagram {
  host_ref From;
  std::string FailureDomain;
  std::uint64_t ReceiverIncarnation = 0; ///< 0: not known yet
  std::uint64_t StateNumber = 0;
  /// Latest state of the receiver that the sender has heard; tells how old the
  /// datagram can be at most.
  std::uint64_t AckedStateNumber = 0;
  std::optional<host_state> State;
  std::uint64_t Epoch = 0;      ///< of the sender's numbers
  std::uint64_t AckedEpoch = 0; ///< of the receiver's numbers that are acked
  std::uint64_t AckedUpTo = 0;  ///< all messages up to this one have arrived
  std::vector<std::uint64_t> SelectiveAcks;
  struct numbered_message {
    std::uint64_t Number = 0;
    peer_message Message;
  };
  std::vector<numbered_message> Messages;
};

/// @returns the bytes of a state, for encodeDatagram
std::string encodeState(const host_state &State);
/// A state that goes to many hosts is encoded once.
///
/// @param[in] State bytes of the state, empty for none
/// @returns the bytes to send
std::string encodeDatagram(const datagram &Datagram, std::string_view State);
/// @returns the datagram, nothing when the bytes can't be read
std::optional<datagram> decodeDatagram(std::string_view Bytes);

} // namespace tarragonbridge::pool
