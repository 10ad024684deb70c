/// What the own targets' tasks teach of them.
#pragma once

#include "core/pool/state_p.h"

namespace tarragonbridge::pool {

/// Judges a target by what became of a task there.
void recordHealth(reducer_context &Ctx, const std::string &Target,
                  const ended_attempt &Ended);
/// Lowers the speed of targets whose tasks run longer than they should.
void recordOverdue(reducer_context &Ctx, const std::string &Target,
                   const owned_target &Custody);

} // namespace tarragonbridge::pool
