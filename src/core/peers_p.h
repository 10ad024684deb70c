/// State of a dispatcher towards the other entry hosts.
#pragma once

#include "core/refusal_p.h"
#include "tarragonbridge/peer_events.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tarragonbridge {

/// What a caller wants of a job that another host answers for.
enum class remote_wish : std::uint8_t { Submit, SubmitAsync, Query, Cancel };

/// A caller's request while other hosts are asked.
struct remote_caller {
  request_handle Request;
  remote_wish Wish = remote_wish::Submit;
  boot_time Until; ///< end of its wait
};

/// A question to a home together with those who wait for its answer.
struct claim_question {
  claim_ask Ask;
  host_identity Home;
  std::optional<job_request> Job; ///< Grant only
  refusal Refusal;                ///< Check only: why it isn't run here
  std::vector<remote_caller> Callers;
};

/// Questions to one home: at most one batch is out, the others wait for it.
struct claim_channel {
  std::vector<std::uint64_t> Sent; ///< numbers of questions
  std::vector<std::uint64_t> Waiting;
};

/// A fetch that is out.
struct fetch_call {
  remote_caller Caller;
  host_identity Holder; ///< incarnation 0: part of a search
  fetch_ask Ask;
  std::uint64_t Search = 0; ///< 0: none
};

/// Asks every host for a key whose home is dead.
struct holder_search {
  remote_caller Caller;
  host_identity Home;
  std::string Key;
  std::size_t Awaited = 0;
  bool AnyUnheard = false; ///< a possible holder did not answer
};

struct peer_state {
  std::map<std::string, member, std::less<>> Members;
  std::vector<std::string> HeartbeatOrder; ///< names still to be told
  bool HeartbeatTimerSet = false;
  claim_table Claims;
  holder_table Asks;
  std::map<std::uint64_t, claim_question> Questions; ///< by number
  std::map<std::string, claim_channel> Channels;     ///< by home identity
  std::uint64_t NextCall = 1;
  std::map<std::uint64_t, fetch_call> Fetches; ///< by call
  std::map<std::uint64_t, holder_search> Searches;
};

} // namespace tarragonbridge
