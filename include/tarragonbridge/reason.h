/// Reason codes of refusals, failures and retries.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace tarragonbridge {

/// What a reason is about; decides which counter family it appears in.
enum class reason_kind : std::uint8_t { Refusal, Failure, Retry, Ignored };

/// Every reason code. The table in reason.cpp has one row for each.
enum class reason : std::uint8_t {
  // Refusals of requests.
  Malformed,
  TooLarge,
  TooManyTasks,
  MissingKey,
  UnknownTeam,
  UnknownKey,
  UnknownFailureDomain,
  NotFound,
  KeyReused,
  SubmittedInFuture,
  SubmittedTooOld,
  NeverFits,
  QueueFull,
  TeamQueueFull,
  TooLate,
  Unauthorized,
  Forbidden,
  HomeUnreachable,
  HolderUnreachable,
  StartPending,
  ClaimsFull,
  AnswerDropped,
  ShuttingDown,
  StoreUnreachable,
  StoreOutcomeUnknown,
  StoreBudgetSpent,
  RevisionChanged,
  // Failures of jobs.
  TaskFailed,
  OutcomeUnknown,
  HomeDied,
  HolderDied,
  DeadlineExceeded,
  Cancelled,
  RetriesExhausted,
  // Retries of tasks.
  TargetFull,
  TargetLeaving,
  TargetLapsed,
  TargetTooLarge,
  TargetUnreachable,
  TargetError,
  TargetLost,
  TargetSetAside,
  TargetSilent,
  AttemptStopped,
  AttemptEnded,
  AttemptUnseen,
  LeaseOver,
  StopUnanswered,
  RenewalUnanswered,
  AttemptsUsedUp,
  RetryBudgetEmpty,
  // Replies that were counted and not used.
  PeerMalformed,
  PeerUnknownMethod,
  PeerMisdirected,
  LateReply,
  // Settings that were not applied.
  SettingsMalformed,
  SettingsBehind,
  SettingsConflict,
  Count
};

constexpr auto ReasonCount = static_cast<std::size_t>(reason::Count);

/// One row of the reason table.
struct reason_info {
  reason Code;
  reason_kind Kind;
  std::string_view Name; ///< name on the wire and in metrics
  int HttpStatus;        ///< status of a refusal, 200 for others
  std::string_view Text; ///< one sentence for people
};

/// @returns the table row of a code
const reason_info &describe(reason Code);

/// @returns all rows in the order of the codes
const std::array<reason_info, ReasonCount> &reasonTable();

/// One count for each reason.
struct reason_counters {
  std::array<std::uint64_t, ReasonCount> Values{};

  void add(reason Code) { ++Values.at(static_cast<std::size_t>(Code)); }
  std::uint64_t get(reason Code) const {
    return Values.at(static_cast<std::size_t>(Code));
  }
};

} // namespace tarragonbridge
