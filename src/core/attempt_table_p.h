/// The state machine of attempts, as one table.
#pragma once

#include "tarragonbridge/reason.h"

#include <array>

namespace tarragonbridge {

/// What is known of an attempt that was sent.
enum class attempt_state : std::uint8_t {
  Sent,     ///< its reply is due
  Suspect,  ///< a renewal's answer did not know it; its reply may be on the way
  Stopping, ///< a stop was sent, its reply is due
  Ended,    ///< not running and never will, its reply may be on the way
  Lost,     ///< its reply was lost, a stop was sent
  Settled,  ///< nothing more is expected
};

/// What can be heard of an attempt.
enum class attempt_input : std::uint8_t {
  Done,      ///< reply: ended with an output
  Failed,    ///< reply: ended with an error
  NotRun,    ///< reply: proved never started
  ReplyLost, ///< the reply will not come
  Lapsed,    ///< a renewal's answer says that it is not running
  Silent,    ///< several renewals in a row had no answer
  Stopped,   ///< stop's answer: was running, is not now
  HadEnded,  ///< stop's answer: ended before
  Unseen,    ///< stop's answer: not known, and will not start later
  LeaseOver, ///< its lease and the margin are over
};
constexpr std::size_t AttemptInputCount = 10;

enum class attempt_action : std::uint8_t {
  None,
  Complete,    ///< use the output
  Requeue,     ///< proved not run: may go anywhere
  Retry,       ///< ended: a further attempt within the budgets
  Stop,        ///< ask the target to stop it
  FailTask,    ///< the job fails, the outcome is known
  FailUnknown, ///< the job fails, the outcome is unknown
};

/// Which rules an attempt follows.
enum class attempt_rule : std::uint8_t {
  Repeatable, ///< the task may run again once an attempt has ended
  Once,       ///< the task may start once
  Abandoned,  ///< the job has ended; only the target's slot is at stake
};

/// What one input leads to under one rule.
struct attempt_cell {
  attempt_state Next;
  attempt_action Action;
};

/// One row: an input in a state.
struct attempt_row {
  attempt_state From;
  attempt_input Input;
  std::array<attempt_cell, 3> Cells; ///< by attempt_rule
  reason Reason;                     ///< counted when not Count
};

constexpr std::size_t AttemptRowCount = 5 * AttemptInputCount;
using attempt_table = std::array<attempt_row, AttemptRowCount>;

/// @returns the rows of every state but Settled, ordered by state and input
const attempt_table &attemptTable();

/// @returns the row of an input in a state that is not Settled
const attempt_row &findRow(const attempt_table &Table, attempt_state State,
                           attempt_input Input);

} // namespace tarragonbridge
