/// What the own targets' tasks teach of them.
#pragma once

#include "core/pool/state_p.h"

namespace tarragonbridge::pool {

/// Judges a target by what became of a task there.
void noteHealth(step &Step, const std::string &Target,
                const ended_attempt &Ended);
/// Lowers the speed of targets whose tasks run longer than they should.
void noteOverdue(step &Step, const std::string &Target, const custody &Custody);

} // namespace tarragonbridge::pool
