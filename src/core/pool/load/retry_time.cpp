#include "core/pool/load/retry_time_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>
#include <xxhash.h>

namespace tarragonbridge::pool {

milliseconds retryAfter(const std::string &Id, std::size_t Level,
                        milliseconds Delay) {
  constexpr milliseconds Range = config::MaxRetryAfter - config::MinRetryAfter;
  constexpr milliseconds Spread = Range / 2;
  constexpr auto LastLevel =
      static_cast<std::int64_t>(config::UrgencyLevels - 1);
  constexpr milliseconds MaxLevelDelay = (Range - Spread) / 2;
  constexpr milliseconds MaxRoomDelay = Range - Spread - MaxLevelDelay;
  const milliseconds Earliest =
      MaxLevelDelay * static_cast<std::int64_t>(Level) / LastLevel +
      std::clamp(Delay, milliseconds(0), MaxRoomDelay);
  const milliseconds Part(XXH3_64bits(Id.data(), Id.size()) %
                          static_cast<std::uint64_t>(Spread.count()));
  return config::MinRetryAfter + Earliest + Part;
}

} // namespace tarragonbridge::pool
