/// Events and effects on the side of targets.
#pragma once

#include "tarragonbridge/ids.h"
#include "tarragonbridge/target.h"

#include <string>
#include <vector>

namespace tarragonbridge {

// Events.

struct task_replied {
  std::string Target;
  attempt_id Id;
  target_reply Reply;
};
/// The answer to a batch of lease renewals.
struct leases_answered {
  std::string Target;
  std::vector<attempt_id> Renewed; ///< all of the batch
  std::vector<attempt_id> Lapsed;  ///< those that were not running
  bool IsAnswered = true;
};
struct stop_answered {
  std::string Target;
  attempt_id Id;
  stop_result Result = stop_result::Unanswered;
};

// Effects.

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
  std::string Target;
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

} // namespace tarragonbridge
