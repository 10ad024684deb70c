/// Claims: the right to start a submission, granted once by its key's home.
#pragma once

#include "tarragonbridge/membership.h"
#include "tarragonbridge/reason.h"
#include "tarragonbridge/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace tarragonbridge {

/// What is asked of a key's home.
enum class claim_mode : std::uint8_t {
  Grant,   ///< the right to start the submission
  Check,   ///< who holds it; grants nothing
  Find,    ///< who holds the key, whatever its body; grants nothing
  Release, ///< gives up a grant that was not and will not be used
};

/// One question to a key's home.
struct claim_ask {
  claim_mode Mode = claim_mode::Grant;
  std::string Key;
  std::uint64_t Digest = 0; ///< unused by Find and Release
  wall_time SubmittedAt;    ///< unused by Find and Release
  std::uint64_t Number = 0; ///< rises with each question of one host

  bool operator==(const claim_ask &) const = default;
};

enum class claim_outcome : std::uint8_t {
  Granted,
  Unclaimed, ///< nobody holds it: nothing of the submission ever ran
  Held,      ///< by another host
  Refused,
};

/// The home's answer to one question.
struct claim_answer {
  std::uint64_t Number = 0;
  claim_outcome Outcome = claim_outcome::Refused;
  host_identity Holder;                    ///< Held only
  reason Reason = reason::HomeUnreachable; ///< Refused only
  bool NotRun = false;                     ///< Refused only

  bool operator==(const claim_answer &) const = default;
};

/// Rules of the protocol; a test removes one to show what it prevents.
struct claim_rules {
  bool CheckHomeIncarnation = true;   ///< a home answers only as itself
  bool CheckHolderIncarnation = true; ///< a restarted holder is another one
  bool CheckAnswerNumber = true;      ///< only the latest question counts
  bool CheckReleaseNumber = true;     ///< a late release of an older grant
  bool KeepPendingClaims = true;      ///< no release while a question is out
  bool KeepOneRecord = true;          ///< a repeated grant starts nothing
  bool RefuseOld = true;              ///< no grant past the retention period
};

/// A grant as kept by the key's home.
struct claim_entry {
  std::uint64_t Digest = 0;
  host_identity Holder;
  std::uint64_t Number = 0; ///< highest question that was granted
  boot_time ForgetAt;
};

/// All grants of one home. Bounded: a full table refuses new claims.
struct claim_table {
  claim_rules Rules;
  std::unordered_map<std::string, claim_entry> Entries;
  std::deque<std::pair<boot_time, std::string>> Forgetting; ///< by time
};

/// Answers one question as the key's home and records a grant.
///
/// @param[in,out] Table grants of this home
/// @param[in] From host that asks
/// @param[in] Ask any mode but Release
/// @param[in] Now clock readings
claim_answer decideClaim(claim_table &Table, const host_identity &From,
                         const claim_ask &Ask, instant Now);

/// Gives up a grant.
///
/// @returns whether the claim was released; false when it is another's or has
/// been granted again since
bool releaseClaim(claim_table &Table, const host_identity &From,
                  const claim_ask &Ask);

/// @returns why a submission time is refused, nothing if it is accepted
std::optional<reason> checkSubmissionTime(wall_time SubmittedAt, wall_time Now);

/// Questions of one host about keys that it wants to start.
struct holder_table {
  claim_rules Rules;
  std::uint64_t NextNumber = 1;
  std::map<std::string, std::uint64_t, std::less<>> Pending; ///< by key
};

/// Numbers a new question that wants a grant.
///
/// @remarks Must not be called while one is pending for the key.
std::uint64_t beginClaim(holder_table &Table, const std::string &Key);

/// Ends a question, whatever became of it: its answer is not used any more.
void endClaim(holder_table &Table, const std::string &Key);

/// @param[in] HasRecord whether this host keeps a record of the key
/// @returns whether a grant entitles this host to start the submission now
bool mayStart(const holder_table &Table, const std::string &Key,
              std::uint64_t Number, bool HasRecord);

/// Numbers a release, which gives up every grant asked for before it.
///
/// @param[in] HasRecord whether this host keeps a record of the key
/// @returns the number, nothing when this host can't prove that no such grant
/// was or will be used
std::optional<std::uint64_t>
beginRelease(holder_table &Table, const std::string &Key, bool HasRecord);

} // namespace tarragonbridge
