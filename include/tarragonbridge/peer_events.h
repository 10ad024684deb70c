/// Events and effects between entry hosts.
#pragma once

#include "tarragonbridge/claims.h"
#include "tarragonbridge/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace tarragonbridge {

/// Set in the handles of requests that came from peers, not from callers.
constexpr std::uint64_t PeerHandleBit = 1ULL << 63U;

/// @returns whether a request came from a peer
constexpr bool isPeerRequest(request_handle Request) {
  return (static_cast<std::uint64_t>(Request) & PeerHandleBit) != 0;
}

/// Sender and addressee of a call.
struct peer_route {
  host_identity From;
  host_identity To; ///< incarnation 0: any

  bool operator==(const peer_route &) const = default;
};

/// What a host knows of a key that it is asked about.
enum class fetch_state : std::uint8_t {
  Ended,   ///< the answer follows
  Running, ///< how the job stands follows
  Pending, ///< it has asked for the claim and may start it
  Unseen,  ///< it keeps no record and will not start it by an earlier grant
  Gone,    ///< the call was meant for another incarnation
};

/// Asks for a job's answer.
struct fetch_ask {
  std::string Key;
  wall_time SubmittedAt{}; ///< zero: unknown
  milliseconds Wait{};     ///< how long the answer may be waited for
  bool Cancel = false;     ///< cancels the job first

  bool operator==(const fetch_ask &) const = default;
};

struct fetch_reply {
  fetch_state State = fetch_state::Unseen;
  int Status = 0;   ///< HTTP status for the caller, Ended and Running only
  std::string Body; ///< body for the caller, Ended and Running only

  bool operator==(const fetch_reply &) const = default;
};

// Events.

struct claims_received {
  request_handle Request;
  peer_route Route;
  std::vector<claim_ask> Asks;
};
struct fetch_received {
  request_handle Request;
  peer_route Route;
  fetch_ask Ask;
};
struct heartbeat_received {
  request_handle Request;
  peer_route Route;
  heartbeat Beat;
};
/// The end of send_claims; without a sender no answer came.
struct claims_answered {
  host_identity Home;
  std::optional<host_identity> From;
  std::vector<claim_answer> Answers;
};
/// The end of send_fetch; without a sender no answer came.
struct fetch_answered {
  std::uint64_t Call = 0;
  std::optional<host_identity> From;
  fetch_reply Reply;
};
/// The end of send_heartbeat that was answered.
struct heartbeat_answered {
  host_identity From;
  heartbeat Beat;
};
/// A peer sent what can't be read; nothing of it was used.
struct peer_input_refused {
  reason Reason = reason::PeerMalformed;
};

// Effects.

struct answer_claims {
  request_handle Request;
  std::vector<claim_answer> Answers;
};
struct answer_fetch {
  request_handle Request;
  fetch_reply Reply;
};
struct answer_heartbeat {
  request_handle Request;
  heartbeat Beat;
};
/// Asks a home about several keys; ends in claims_answered, always.
struct send_claims {
  std::string Address;
  host_identity Home;
  std::vector<claim_ask> Asks;
};
/// Asks a host for an answer; ends in fetch_answered, always.
struct send_fetch {
  std::string Address;
  std::uint64_t Call = 0;
  host_identity To;
  fetch_ask Ask;
};
struct send_heartbeat {
  std::string Address;
  host_identity To;
  heartbeat Beat;
};

} // namespace tarragonbridge
