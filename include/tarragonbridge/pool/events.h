/// Events that a pool host handles and effects that it requests.
#pragma once

#include "tarragonbridge/ids.h"
#include "tarragonbridge/observations.h"
#include "tarragonbridge/pool/peer_messages.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace tarragonbridge::pool {

// Events of the platform's store.

/// A configuration was read from the store.
struct configuration_read {
  configuration Configuration;
};
/// Targets as registered in the store: a snapshot or changes of it.
struct targets_listed {
  bool IsSnapshot = false;
  std::vector<target_record> Upserted;
  std::vector<std::string> Removed;
};
/// The operators' requests to evacuate failure domains: a snapshot, which has
/// those in force, or changes.
struct evacuations_listed {
  bool IsSnapshot = false;
  std::uint64_t Revision = 0; ///< of the store, of a snapshot
  std::vector<evacuation_record> Records;
  boot_time ReadAt; ///< when the store was asked, at the latest
};
/// Hosts as registered in the store: a snapshot or changes of it.
struct members_listed {
  bool IsSnapshot = false;
  std::vector<member_record> Upserted;
  std::vector<std::string> Removed;
};
/// This process is registered in the store, under a number that no other
/// process has.
struct member_registered {
  std::uint64_t OwnerNumber = 0;
};
struct store_reachability {
  bool IsReachable = false;
};

// Events of callers.

struct job_submitted {
  request_handle Request;
  std::string HostName;
  std::string Path;
  milliseconds TimeLimit{}; ///< zero: none given
  job_submission Job;
  bool HasRoom = true; ///< in the memory of this host
};
/// A request about a job or a route that submits nothing.
struct job_queried {
  request_handle Request;
  std::string HostName;
  std::string Path;
  bool IsCancel = false;
};
struct caller_disconnected {
  request_handle Request;
};
struct readiness_queried {
  request_handle Request;
};

// Events of targets.

enum class command_outcome : std::uint8_t {
  Accepted,
  Fenced,  ///< the target has seen a higher token
  OldRun,  ///< an attempt with this number or higher ended there
  TooLate, ///< the lease had expired on arrival
  NoRoom,
  Unhealthy, ///< the target did nothing
  OtherIncarnation,
  Rejected, ///< as malformed by the target
  NoAnswer,
  NotSent, ///< no byte of it left this host
};
std::string_view nameOf(command_outcome Outcome);

struct start_response {
  std::string Target;
  attempt_ref Attempt;
  std::uint64_t Token = 0;
  command_outcome Outcome = command_outcome::NoAnswer;
  std::optional<milliseconds> TargetClock;
};
struct stop_response {
  std::string Target;
  attempt_ref Attempt;
  std::uint64_t Token = 0;
  command_outcome Outcome = command_outcome::NoAnswer;
};
struct listed_outcome {
  std::uint64_t Number = 0;
  attempt_ref Attempt;
  attempt_outcome Outcome = attempt_outcome::Done;
};
struct renewal_response {
  std::string Target;
  std::uint64_t Token = 0;
  std::uint64_t RenewalNumber = 0; ///< of the request that this responds to
  command_outcome Outcome = command_outcome::NoAnswer;
  std::optional<milliseconds> TargetClock;
  std::int64_t Incarnation = 0;
  std::vector<attempt_ref> Running;
  std::vector<listed_outcome> Outcomes;
};

// Other events.

struct datagram_received {
  datagram Datagram;
  std::string SourceAddress; ///< IP and port
};
struct shutdown_requested {
  milliseconds GracePeriod{}; ///< until the process is killed
};
struct timer_fired {};

using event = std::variant<
    configuration_read, evacuations_listed, targets_listed, members_listed,
    member_registered, store_reachability, job_submitted, job_queried,
    caller_disconnected, readiness_queried, start_response, stop_response,
    renewal_response, datagram_received, shutdown_requested, timer_fired>;

// Effects.

enum class response_kind : std::uint8_t {
  JobDone,
  JobFailed,    ///< a task failed in as many attempts as allowed
  JobAbandoned, ///< abandoned by this host; tasks may have run
  NoRoute,
  NotConfigured, ///< no configuration received yet
  Unsupported,
  Overloaded,   ///< nothing was run; retry later
  ShuttingDown, ///< nothing was run
  UnknownJob,
  Cancelled,
  Running,
  QueueLength, ///< number of waiting jobs of a route
  Ready,
  NotReady,
  Malformed,
};

struct respond_to_caller {
  request_handle Request;
  response_kind Kind = response_kind::JobFailed;
  milliseconds RetryAfter{}; ///< zero: none
  std::uint64_t WaitingJobs = 0;
  bool ClosesConnection = false;
};
struct start_attempt {
  std::string Target;
  std::string Address;
  std::int64_t Incarnation = 0;
  attempt_ref Attempt;
  std::uint64_t Token = 0;
  std::string Specification;
  milliseconds LeaseDeadline{}; ///< on the target's clock
  bool NewConnection = false;
};
struct stop_attempt {
  std::string Target;
  std::string Address;
  attempt_ref Attempt;
  std::uint64_t Token = 0;
};
/// Renews the lease on a target, acknowledges its outcomes and lists its
/// attempts.
struct renew_target_lease {
  std::string Target;
  std::string Address;
  std::uint64_t Token = 0;
  std::uint64_t RenewalNumber = 0;
  std::uint64_t LastOutcomeNumber = 0;
  std::optional<milliseconds> LeaseDeadline; ///< on the target's clock
  milliseconds LongPollWait{};
  bool NewConnection = false;
};
/// Reads what operators have written, the configuration and the evacuations,
/// from the store again, beside the watch.
struct reread_configuration {
  bool IsAfterNow = false; ///< a read that is in flight doesn't do
};
struct send_datagram {
  std::string Address;
  std::string Bytes;
};
struct log_line {
  std::string Event;
  std::vector<std::pair<std::string, std::string>> Fields;
};
/// The graceful shutdown is complete and the process may exit.
struct shutdown_finished {};

using effect =
    std::variant<respond_to_caller, start_attempt, stop_attempt,
                 renew_target_lease, reread_configuration, send_datagram,
                 log_line, observe_time, shutdown_finished>;

} // namespace tarragonbridge::pool
