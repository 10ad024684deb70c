#include "tarragonbridge/reason.h"

namespace tarragonbridge {

namespace {
using enum reason_kind;

constexpr std::array<reason_info, ReasonCount> Table{{
    {reason::Malformed, Refusal, "malformed", 400,
     "The request is not well formed."},
    {reason::TooLarge, Refusal, "too_large", 413, "The body is too large."},
    {reason::TooManyTasks, Refusal, "too_many_tasks", 413,
     "The job has too many tasks."},
    {reason::MissingKey, Refusal, "missing_key", 400,
     "The request names no key."},
    {reason::UnknownTeam, Refusal, "unknown_team", 404,
     "No settings exist for the team."},
    {reason::UnknownKey, Refusal, "unknown_key", 404,
     "No job is kept under the key."},
    {reason::UnknownFailureDomain, Refusal, "unknown_failure_domain", 400,
     "The home is not a configured failure domain."},
    {reason::NotFound, Refusal, "not_found", 404, "No such resource."},
    {reason::KeyReused, Refusal, "key_reused", 409,
     "The key was used with another body."},
    {reason::SubmittedInFuture, Refusal, "submitted_in_future", 400,
     "The submission time lies ahead of the clock by more than the allowed "
     "skew."},
    {reason::SubmittedTooOld, Refusal, "submitted_too_old", 400,
     "The submission time is older than answers are kept."},
    {reason::NeverFits, Refusal, "never_fits", 422,
     "No target can ever run the job."},
    {reason::QueueFull, Refusal, "queue_full", 429, "The queue is full."},
    {reason::TeamQueueFull, Refusal, "team_queue_full", 429,
     "The queue of the team is full."},
    {reason::TooLate, Refusal, "too_late", 503,
     "The job would miss its deadline."},
    {reason::Unauthorized, Refusal, "unauthorized", 401,
     "The token is missing or wrong."},
    {reason::Forbidden, Refusal, "forbidden", 403,
     "The token does not permit the change."},
    {reason::HomeUnreachable, Refusal, "home_unreachable", 503,
     "The host that answers for the key can't be reached."},
    {reason::ShuttingDown, Refusal, "shutting_down", 503,
     "The host is shutting down."},
    {reason::StoreUnreachable, Refusal, "store_unreachable", 503,
     "The store can't be reached, and nothing was written."},
    {reason::StoreOutcomeUnknown, Refusal, "store_outcome_unknown", 503,
     "The store's answer was lost; the write may have taken effect."},
    {reason::StoreBudgetSpent, Refusal, "store_budget_spent", 503,
     "This host's budget of calls to the store is spent."},
    {reason::TaskFailed, Failure, "task_failed", 200,
     "A task failed at its target."},
    {reason::OutcomeUnknown, Failure, "outcome_unknown", 200,
     "The outcome of a task can't be known."},
    {reason::DeadlineExceeded, Failure, "deadline_exceeded", 200,
     "The time limit passed."},
    {reason::Cancelled, Failure, "cancelled", 200,
     "The caller cancelled the job."},
    {reason::RetriesExhausted, Failure, "retries_exhausted", 200,
     "A task was refused or failed too many times."},
    {reason::TargetFull, Retry, "target_full", 200,
     "The target had no free slot."},
    {reason::TargetLeaving, Retry, "target_leaving", 200,
     "The target is leaving."},
    {reason::TargetLapsed, Retry, "target_lapsed", 200,
     "The lease lapsed before the start."},
    {reason::TargetTooLarge, Retry, "target_too_large", 200,
     "The task is too large for it."},
    {reason::TargetUnreachable, Retry, "target_unreachable", 200,
     "No connection could be made, nothing was sent."},
    {reason::TargetError, Retry, "target_error", 200,
     "The task failed at the target."},
    {reason::TargetLost, Retry, "target_lost", 200, "The reply was lost."},
    {reason::LateReply, Ignored, "late_reply", 200,
     "A reply to an attempt already settled."},
}};
} // namespace

const reason_info &describe(reason Code) {
  return Table.at(static_cast<std::size_t>(Code));
}

const std::array<reason_info, ReasonCount> &reasonTable() { return Table; }

} // namespace tarragonbridge
