/// HTTP requests of callers, turned into events.
#pragma once

#include "daemon/event_loop.h"
#include "net/http_server.h"

#include <optional>
#include <string>

namespace tarragonbridge {

/// Reads a request of a caller.
///
/// @returns the event, an error to refuse it with
result<event> parseCallerRequest(request_handle Handle,
                                 const http_request &Request);

/// @returns whether a request submits a job
bool isSubmission(const http_request &Request);

/// @returns the answer to a request refused before it reached the dispatcher
http_response refusalResponse(const error &Error);

/// @returns the text of /metrics
std::string formatMetrics(const dispatcher_figures &Figures,
                          const upload_figures &Callers,
                          const upload_figures &Peers);

} // namespace tarragonbridge
