/// Memory of the process.
#pragma once

#include <cstddef>

namespace tarragonbridge {

/// Blocks of at least this size are given back when they are freed.
constexpr std::size_t LargeBlockBytes = 64U << 10U;

/// Makes the allocator do so. Called once, at the start of the process.
void returnFreedMemory();

} // namespace tarragonbridge
