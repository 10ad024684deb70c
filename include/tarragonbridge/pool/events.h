/// Events that a pool host takes and effects that it asks for.
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

/// The store holds a configuration.
struct configuration_read {
  configuration Configuration;
};
/// All targets as listed, or changes of the list.
struct targets_listed {
  bool IsSnapshot = false;
  std::vector<target_record> Upserted;
  std::vector<std::string> Removed;
};
/// All entry hosts as registered, or changes of the list.
struct members_listed {
  bool IsSnapshot = false;
  std::vector<member_record> Upserted;
  std::vector<std::string> Removed;
};
/// This process is registered in the store under a number that is its alone.
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
};
/// A request that isn't a submission.
struct job_queried {
  request_handle Request;
  std::string HostName;
  std::string Path;
  bool IsCancel = false;
};
struct caller_left {
  request_handle Request;
};
struct readiness_queried {
  request_handle Request;
};

// Events of targets.

enum class command_outcome : std::uint8_t {
  Accepted,
  Fenced,  ///< a higher token was seen
  OldRun,  ///< a run as high has ended there
  TooLate, ///< its lease was over on arrival
  NoRoom,
  Unhealthy, ///< did nothing
  OtherIncarnation,
  Rejected, ///< malformed in the target's eyes
  NoAnswer,
  NotSent, ///< no byte left this host
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
  std::uint64_t RenewalNumber = 0; ///< number of the hold
  command_outcome Outcome = command_outcome::NoAnswer;
  std::optional<milliseconds> TargetClock;
  std::int64_t Incarnation = 0;
  std::vector<attempt_ref> Running;
  std::vector<listed_outcome> Outcomes;
};

// Other events.

struct datagram_received {
  datagram Datagram;
  std::string From; ///< IP and port
};
struct shutdown_requested {
  milliseconds Allowed{}; ///< until the process is killed
};
struct timer_fired {};

using event = std::variant<configuration_read, targets_listed, members_listed,
                           member_registered, store_reachability, job_submitted,
                           job_queried, caller_left, readiness_queried,
                           start_response, stop_response, renewal_response,
                           datagram_received, shutdown_requested, timer_fired>;

// Effects.

enum class response_kind : std::uint8_t {
  JobDone,
  JobFailed,    ///< a task has failed as often as it may
  JobAbandoned, ///< given up by this host; tasks may have run
  NoRoute,
  NotConfigured, ///< no configuration yet
  Unsupported,
  Overloaded,   ///< nothing ran; come back later
  ShuttingDown, ///< nothing ran
  UnknownJob,
  Cancelled,
  Running,
  QueueLength, ///< number of waiting jobs
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
/// Renews the lease, acknowledges ends and lists what runs.
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
/// Reads the configuration from the store once more.
struct reread_configuration {};
struct send_datagram {
  std::string Address;
  std::string Bytes;
};
struct log_line {
  std::string Event;
  std::vector<std::pair<std::string, std::string>> Fields;
};
/// Nothing is in flight any more and the process may end.
struct shutdown_finished {};

using effect =
    std::variant<respond_to_caller, start_attempt, stop_attempt,
                 renew_target_lease, reread_configuration, send_datagram,
                 log_line, observe_time, shutdown_finished>;

} // namespace tarragonbridge::pool
