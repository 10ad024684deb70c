/// Ways to place tasks on targets.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

namespace tarragonbridge {

/// How the target of an attempt is chosen among those with room.
enum class placement_kind : std::uint8_t {
  Expected,          ///< earliest expected completion; the product's own
  Random,            ///< baseline: any
  RoundRobin,        ///< baseline: the next by name
  PowerOfTwoChoices, ///< baseline: the less loaded of two at random
};

/// Names of the kinds, as given to --placement.
constexpr std::array<std::pair<std::string_view, placement_kind>, 4>
    PlacementNames{{
        {"expected", placement_kind::Expected},
        {"random", placement_kind::Random},
        {"round-robin", placement_kind::RoundRobin},
        {"power-of-two", placement_kind::PowerOfTwoChoices},
    }};

/// @returns the kind of a name, nothing if no kind has it
constexpr std::optional<placement_kind> parsePlacement(std::string_view Text) {
  for (const auto &[Name, Kind] : PlacementNames) {
    if (Name == Text) {
      return Kind;
    }
  }
  return std::nullopt;
}

} // namespace tarragonbridge
