/// What is wrong with a link.
#pragma once

#include "tarragonbridge/error.h"
#include "tarragonbridge/time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace tarragonbridge {

/// Faults of one direction of a link; they apply to each connection by itself.
struct direction_faults {
  milliseconds Delay{};
  milliseconds Jitter{};            ///< up to this much is added to the delay
  std::uint64_t BytesPerSecond = 0; ///< 0: no limit
  bool Held = false; ///< bytes wait, and are delivered late once this ends
  std::optional<std::uint64_t> DropAfterBytes; ///< what follows is lost
};

struct link_faults {
  direction_faults Forward;  ///< from the connecting side
  direction_faults Backward; ///< towards the connecting side
  bool Reset = false; ///< connections are reset, new ones at once as well
};

/// Applies the fields of a control request; those left out stay as they are.
///
/// @param[in] Body {"direction":"both"|"forward"|"backward","delay_ms",
/// "jitter_ms","bytes_per_second","held","drop_after_bytes","reset"}; a
/// negative drop_after_bytes ends that fault
/// @param[in,out] Faults unchanged when an error is returned
result<void> applyFaults(std::string_view Body, link_faults &Faults);

} // namespace tarragonbridge
