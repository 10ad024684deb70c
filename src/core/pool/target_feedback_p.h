/// Health and speed of the owned targets, from the outcomes of their tasks.
#pragma once

#include "core/pool/state_p.h"

namespace tarragonbridge::pool {

/// Evaluates a target's health by the outcome of a task.
void recordHealth(reducer_context &Ctx, const std::string &Target,
                  const ended_attempt &Ended);
/// Lowers the estimated speed of a target whose attempts are overdue.
void recordOverdue(reducer_context &Ctx, const std::string &Target,
                   const owned_target &OwnedTarget);

} // namespace tarragonbridge::pool
