/// A model of hosts that claim one key, for the exploration of message orders.
#pragma once

#include "tarragonbridge/claims.h"
#include "tarragonbridge/config.h"

#include <array>
#include <string>
#include <vector>

namespace tarragonbridge {

/// How often each kind of event may still occur.
struct model_budget {
  int Submissions = 3;
  int Timeouts = 1;     ///< a question is given up
  int Probes = 1;       ///< a host is asked for a key it has no record of
  int Refusals = 1;     ///< admission refuses after a grant
  int Restarts = 1;     ///< a host crashes and starts again
  int Duplications = 1; ///< a message is delivered and stays on its way
  int Forgettings = 1;  ///< the retention period passes
};

/// A question or its answer on the way between a host and the home.
struct model_message {
  bool IsAnswer = false;
  std::size_t Host = 0; ///< that asks
  std::uint64_t HostIncarnation = 1;
  std::uint64_t HomeIncarnation = 1;
  claim_mode Mode = claim_mode::Grant;
  std::uint64_t Number = 0;
  claim_outcome Outcome = claim_outcome::Refused;
};

struct model_host {
  std::uint64_t Incarnation = 1;
  holder_table Asks;
  bool HasRecord = false;
};

/// Host 0 is the key's home in its first incarnation. Messages may be delivered
/// in any order; one that is never delivered is lost.
struct claims_model {
  claim_rules Rules;
  model_budget Budget;
  std::vector<model_host> Hosts;
  claim_table Home;
  std::vector<model_message> Network;
  instant Now{boot_time(std::chrono::hours(1)),
              wall_time(std::chrono::hours(1))};
  int Starts = 0;
};

/// @returns a model whose hosts follow the rules
claims_model makeModel(const claim_rules &Rules, const model_budget &Budget,
                       std::size_t Hosts);

/// @returns every state that one event leads to
std::vector<claims_model> nextStates(const claims_model &Model);

/// @returns a text that is equal for equal states
std::string fingerprint(const claims_model &Model);

} // namespace tarragonbridge
