/// Hosts of the platform's list, and replies of targets.
#pragma once

#include "tarragonbridge/error.h"
#include "tarragonbridge/ids.h"
#include "tarragonbridge/job.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge {

enum class host_role : std::uint8_t { Entry, Target };
enum class host_state : std::uint8_t { Live, Leaving };

/// One entry of the platform's host list.
struct host_entry {
  std::string Name;
  host_role Role = host_role::Target;
  std::string FailureDomain;
  std::string Rack;
  std::string Address;     ///< IP and port
  std::string PeerAddress; ///< entry hosts only
  host_state State = host_state::Live;
  std::uint32_t Slots = 0;
  resources Capacity;
  std::uint32_t Connections = 0;
};

/// Parses the value of platform/hosts/<name>.
result<host_entry> parseHostEntry(std::string_view Name,
                                  std::string_view Value);

/// What is known of an attempt after its reply.
enum class reply_kind : std::uint8_t {
  Done,    ///< ended with an output
  Failed,  ///< ended with an error
  NotRun,  ///< proved never started
  Unknown, ///< may have run or still run
};

/// The reply to one attempt.
struct target_reply {
  reply_kind Kind = reply_kind::Unknown;
  reason Reason = reason::TargetLost; ///< why, for all kinds but Done
  std::string Output;                 ///< JSON text, Done only
  std::string Message;                ///< error text, else empty
};

/// What a target said to a stop.
enum class stop_result : std::uint8_t {
  Stopped,     ///< was running, is not now
  Ended,       ///< ended before
  Unseen,      ///< not known, and will not start later
  ProcessGone, ///< connection refused: a start on the way was lost as well
  Unanswered,  ///< proves nothing
};

/// Reads the answer to POST /v1/tasks. Anything out of form is Unknown.
///
/// @param[in] Status HTTP status
/// @param[in] Body body of the answer
/// @param[in] TaskId task that was asked for
/// @param[in] Attempt number that was asked for
target_reply parseTargetReply(int Status, std::string_view Body,
                              std::string_view TaskId, std::uint32_t Attempt);

/// Reads the answer to POST /v1/stop. Anything out of form is Unanswered.
stop_result parseStopReply(int Status, std::string_view Body);

/// Reads the answer to POST /v1/leases/renew.
///
/// @param[in] Status HTTP status
/// @param[in] Body body of the answer
/// @param[in] Renewed attempts of the batch
/// @returns those that were not running, nothing if the answer is out of form
std::optional<std::vector<attempt_id>>
parseLapsed(int Status, std::string_view Body,
            const std::vector<attempt_id> &Renewed);

} // namespace tarragonbridge
