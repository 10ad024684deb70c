/// Messages between entry hosts as JSON: parameters and results of their calls.
#pragma once

#include "tarragonbridge/error.h"
#include "tarragonbridge/peer_events.h"

#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge {

/// Parameters of "claim".
struct claims_message {
  peer_route Route;
  std::vector<claim_ask> Asks;

  bool operator==(const claims_message &) const = default;
};
/// Result of "claim".
struct claims_result {
  host_identity From;
  std::vector<claim_answer> Answers;

  bool operator==(const claims_result &) const = default;
};
/// Parameters of "fetch".
struct fetch_message {
  peer_route Route;
  fetch_ask Ask;

  bool operator==(const fetch_message &) const = default;
};
/// Result of "fetch".
struct fetch_result {
  host_identity From;
  fetch_reply Reply;

  bool operator==(const fetch_result &) const = default;
};
/// Parameters of "heartbeat"; its result is of the same form.
struct heartbeat_message {
  peer_route Route;
  heartbeat Beat;

  bool operator==(const heartbeat_message &) const = default;
};

std::string write(const claims_message &Message);
std::string write(const claims_result &Result);
std::string write(const fetch_message &Message);
std::string write(const fetch_result &Result);
std::string write(const heartbeat_message &Message);

// Each reads JSON text strictly and returns all faults in one error.

result<claims_message> parseClaimsMessage(std::string_view Text);
result<claims_result> parseClaimsResult(std::string_view Text);
result<fetch_message> parseFetchMessage(std::string_view Text);
result<fetch_result> parseFetchResult(std::string_view Text);
result<heartbeat_message> parseHeartbeat(std::string_view Text);

} // namespace tarragonbridge
