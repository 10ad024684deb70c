#include "tarragonbridge/claims.h"

#include "tarragonbridge/config.h"

#include <algorithm>

namespace tarragonbridge {

namespace {
// A submission time may lie ahead by the skew, and clocks may step by it.
constexpr milliseconds ClaimRetention =
    config::AnswerRetention + 2 * config::MaxClockSkew;

void forgetOld(claim_table &Table, boot_time Now) {
  auto &Forgetting = Table.Forgetting;
  while (!Forgetting.empty() && Forgetting.front().first <= Now) {
    // A key that was released and granted again is due later.
    const auto Found = Table.Entries.find(Forgetting.front().second);
    if (Found != Table.Entries.end() && Found->second.ForgetAt <= Now) {
      Table.Entries.erase(Found);
    }
    Forgetting.pop_front();
  }
}

bool isSameHolder(const claim_table &Table, const host_identity &Left,
                  const host_identity &Right) {
  if (Table.Rules.CheckHolderIncarnation) {
    return Left == Right;
  }
  return Left.Host == Right.Host;
}

claim_answer refuse(const claim_ask &Ask, reason Reason, bool NotRun) {
  return {Ask.Number, claim_outcome::Refused, {}, Reason, NotRun};
}

/// Answers a question about a key that was granted before.
claim_answer decideKnown(const claim_table &Table, claim_entry &Entry,
                         const host_identity &From, const claim_ask &Ask) {
  if (Ask.Mode != claim_mode::Find && Entry.Digest != Ask.Digest) {
    return refuse(Ask, reason::KeyReused, false);
  }
  if (!isSameHolder(Table, Entry.Holder, From)) {
    return {Ask.Number, claim_outcome::Held, Entry.Holder};
  }
  if (Ask.Mode != claim_mode::Grant) {
    return {Ask.Number, claim_outcome::Unclaimed, {}};
  }
  Entry.Number = std::max(Entry.Number, Ask.Number);
  return {Ask.Number, claim_outcome::Granted, {}};
}

void record(claim_table &Table, const host_identity &From, const claim_ask &Ask,
            boot_time Now) {
  const boot_time ForgetAt = Now + ClaimRetention;
  Table.Entries.emplace(Ask.Key,
                        claim_entry{Ask.Digest, From, Ask.Number, ForgetAt});
  Table.Forgetting.emplace_back(ForgetAt, Ask.Key);
}
} // namespace

std::optional<reason> checkSubmissionTime(wall_time SubmittedAt,
                                          wall_time Now) {
  if (SubmittedAt > Now + config::MaxClockSkew) {
    return reason::SubmittedInFuture;
  }
  if (SubmittedAt < Now - config::AnswerRetention + config::MaxClockSkew) {
    return reason::SubmittedTooOld;
  }
  return std::nullopt;
}

claim_answer decideClaim(claim_table &Table, const host_identity &From,
                         const claim_ask &Ask, instant Now) {
  forgetOld(Table, Now.Boot);
  const auto Found = Table.Entries.find(Ask.Key);
  if (Found != Table.Entries.end()) {
    return decideKnown(Table, Found->second, From, Ask);
  }
  if (Ask.Mode == claim_mode::Find) {
    return {Ask.Number, claim_outcome::Unclaimed, {}};
  }
  const auto Reason = checkSubmissionTime(Ask.SubmittedAt, Now.Wall);
  if (Reason && Table.Rules.RefuseOld) {
    return refuse(Ask, *Reason, *Reason != reason::SubmittedTooOld);
  }
  if (Ask.Mode == claim_mode::Check) {
    return {Ask.Number, claim_outcome::Unclaimed, {}};
  }
  if (Table.Forgetting.size() >= config::MaxClaims) {
    return refuse(Ask, reason::ClaimsFull, true);
  }
  record(Table, From, Ask, Now.Boot);
  return {Ask.Number, claim_outcome::Granted, {}};
}

bool releaseClaim(claim_table &Table, const host_identity &From,
                  const claim_ask &Ask) {
  const auto Found = Table.Entries.find(Ask.Key);
  if (Found == Table.Entries.end() || Found->second.Holder != From) {
    return false;
  }
  if (Table.Rules.CheckReleaseNumber && Found->second.Number > Ask.Number) {
    return false;
  }
  Table.Entries.erase(Found);
  return true;
}

std::uint64_t beginClaim(holder_table &Table, const std::string &Key) {
  const std::uint64_t Number = Table.NextNumber++;
  Table.Pending[Key] = Number;
  return Number;
}

void endClaim(holder_table &Table, const std::string &Key) {
  Table.Pending.erase(Key);
}

bool mayStart(const holder_table &Table, const std::string &Key,
              std::uint64_t Number, bool HasRecord) {
  if (HasRecord && Table.Rules.KeepOneRecord) {
    return false;
  }
  const auto Found = Table.Pending.find(Key);
  if (Found == Table.Pending.end()) {
    return false;
  }
  return Found->second == Number || !Table.Rules.CheckAnswerNumber;
}

std::optional<std::uint64_t>
beginRelease(holder_table &Table, const std::string &Key, bool HasRecord) {
  const bool IsPending =
      Table.Rules.KeepPendingClaims && Table.Pending.contains(Key);
  if (HasRecord || IsPending) {
    return std::nullopt;
  }
  return Table.NextNumber++;
}

} // namespace tarragonbridge
