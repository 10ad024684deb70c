/// When the caller of a refused job may submit it again.
#pragma once

#include "tarragonbridge/pool/types.h"

#include <string>

namespace tarragonbridge::pool {

/// @param[in] Level of urgency: more urgent jobs return sooner
/// @param[in] Delay until room is expected
/// @returns a time within config::MinRetryAfter and config::MaxRetryAfter; the
/// times of different jobs are spread, also when room is expected late
milliseconds retryAfter(const std::string &Id, std::size_t Level,
                        milliseconds Delay);

} // namespace tarragonbridge::pool
