/// Events and effects on the side of callers.
#pragma once

#include "tarragonbridge/ids.h"
#include "tarragonbridge/job.h"

#include <string>

namespace tarragonbridge {

// Events.

struct session_requested {
  request_handle Request;
};
struct job_submitted {
  request_handle Request;
  job_request Job;
  bool Async = false;
  /// In the memory of this host. If false, the tasks have no payloads, and the
  /// job can only join an earlier submission.
  bool HasRoom = true;
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
/// Asks how this host is.
struct status_requested {
  request_handle Request;
};

// Effects.

/// Answers a held request.
struct answer_request {
  request_handle Request;
  int Status = 200;
  std::string Body;
  milliseconds RetryAfter{}; ///< zero: none
  bool Final = true;         ///< false: tells how a running job stands
};

} // namespace tarragonbridge
