/// Memory of the process.
#pragma once

namespace tarragonbridge {

/// Makes the allocator give large blocks back when they are freed. Called once,
/// at the start of the process.
void returnFreedMemory();

} // namespace tarragonbridge
