/// What a full queue turns away.
#pragma once

#include "core/pool/queued_task_p.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace tarragonbridge::pool {

/// @param[in] FastestSpeed of the targets that may run the tasks
/// @returns the task of a full queue that a new one displaces, as turning it
/// away costs least; nothing if that is the new one
std::optional<std::size_t> findDisplaced(const std::vector<queued_task> &Queue,
                                         const queued_task &Task,
                                         double FastestSpeed, boot_time Now);

} // namespace tarragonbridge::pool
