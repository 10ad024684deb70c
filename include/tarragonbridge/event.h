/// Events that the reducer takes and effects that it asks for.
#pragma once

#include "tarragonbridge/job.h"
#include "tarragonbridge/settings.h"
#include "tarragonbridge/target.h"

#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace tarragonbridge {

/// A request of a caller that waits for its answer.
enum class request_handle : std::uint64_t {};

/// One attempt at one task.
struct attempt_id {
  std::string Key; ///< key of the job
  std::uint32_t Task = 0;
  std::uint32_t Attempt = 0;

  bool operator==(const attempt_id &) const = default;
  bool operator<(const attempt_id &Other) const {
    return std::tie(Key, Task, Attempt) <
           std::tie(Other.Key, Other.Task, Other.Attempt);
  }
};

/// @returns the name of the task on the wire: <key>#<index>
std::string formatTaskId(const attempt_id &Id);

// Events.

struct session_requested {
  request_handle Request;
};
struct job_submitted {
  request_handle Request;
  job_request Job;
  bool Async = false;
};
struct job_queried {
  request_handle Request;
  std::string Key;
  milliseconds Wait{};
};
struct job_cancelled {
  request_handle Request;
  std::string Key;
};
struct task_replied {
  std::string Target;
  attempt_id Id;
  target_reply Reply;
};
/// The answer to a batch of lease renewals.
struct leases_answered {
  std::string Target;
  std::vector<attempt_id> Lapsed;
};
struct hosts_listed {
  std::vector<host_entry> Hosts;
};
struct settings_loaded {
  settings_tree Settings;
};
struct shutdown_requested {};
struct timer_fired {};

using event =
    std::variant<session_requested, job_submitted, job_queried, job_cancelled,
                 task_replied, leases_answered, hosts_listed, settings_loaded,
                 shutdown_requested, timer_fired>;

// Effects.

/// Answers a held request.
struct answer_request {
  request_handle Request;
  int Status = 200;
  std::string Body;
  milliseconds RetryAfter{}; ///< zero: none
};
/// Sends one attempt to a target.
struct start_task {
  std::string Target;
  attempt_id Id;
  std::string Address;
  milliseconds Lease{};
  milliseconds Timeout{};
  std::string Payload;
  resources Needs;
};
/// Asks a target to stop an attempt.
struct stop_task {
  attempt_id Id;
  std::string Address;
};
/// Renews the leases of all attempts at one target.
struct renew_leases {
  std::string Target;
  std::string Address;
  milliseconds Lease{};
  std::vector<attempt_id> Attempts;
};
/// Writes one line of key=value pairs.
struct log_line {
  std::string Event;
  std::vector<std::pair<std::string, std::string>> Fields;
};
/// Nothing is in flight any more and the process may end.
struct shutdown_finished {};

using effect = std::variant<answer_request, start_task, stop_task, renew_leases,
                            log_line, shutdown_finished>;

} // namespace tarragonbridge
