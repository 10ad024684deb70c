/// Refusals of requests, as data.
#pragma once

#include "tarragonbridge/reason.h"

#include <string>

namespace tarragonbridge {

/// Why a request was refused.
struct refusal {
  std::string Key;
  reason Reason = reason::Malformed;
  bool NotRun = false; ///< proved for the whole submission
  std::string Step;
  std::string Peer;
  std::string Message;
};

} // namespace tarragonbridge
