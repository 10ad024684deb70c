/// All events that the reducer takes and all effects that it asks for.
#pragma once

#include "tarragonbridge/caller_events.h"
#include "tarragonbridge/observations.h"
#include "tarragonbridge/peer_events.h"
#include "tarragonbridge/platform_events.h"
#include "tarragonbridge/settings_events.h"
#include "tarragonbridge/target_events.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace tarragonbridge {

struct shutdown_requested {};
struct timer_fired {};
/// A refusal that was decided outside the reducer, to be counted.
struct reason_counted {
  reason Reason = reason::Malformed;
};

using event =
    std::variant<session_requested, job_submitted, job_queried, job_cancelled,
                 status_requested,                             // callers
                 task_replied, leases_answered, stop_answered, // targets
                 claims_received, fetch_received, heartbeat_received,
                 claims_answered, fetch_answered, heartbeat_answered,
                 peer_input_refused,          // peers
                 hosts_listed, store_contact, // platform
                 settings_loaded, settings_offered, settings_unreadable,
                 reason_counted, shutdown_requested, timer_fired>;

/// Writes one line of key=value pairs.
struct log_line {
  std::string Event;
  std::vector<std::pair<std::string, std::string>> Fields;
};
/// Nothing is in flight any more and the process may end.
struct shutdown_finished {};

using effect =
    std::variant<answer_request,                      // callers
                 start_task, stop_task, renew_leases, // targets
                 answer_claims, answer_fetch, answer_heartbeat, send_claims,
                 send_fetch, send_heartbeat, // peers
                 settings_applied, log_line, observe_time, shutdown_finished>;

} // namespace tarragonbridge
