/// Parsing of a subtree within what the subtrees around it allow.
#pragma once

#include "tarragonbridge/settings.h"

namespace tarragonbridge {

/// Whether a subtree may name operators.
enum class operators_rule : std::uint8_t { Allowed, Refused, Required };

struct subtree_bounds {
  effective_values Parent; ///< in force at the parent
  operators_rule Operators = operators_rule::Allowed;
};

/// @returns the settings, or all faults in one error, a line each
result<subtree_settings> parseBoundedSubtree(std::string_view Path,
                                             std::string_view Text,
                                             const subtree_bounds &Bounds);

} // namespace tarragonbridge
