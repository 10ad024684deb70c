#include "base/memory.h"

#include <malloc.h>

namespace tarragonbridge {

namespace {
// Set, as the allocator would raise its thresholds by itself, and blocks of
// many connections would stay in a scattered heap.
constexpr int LargeBlockBytes = 64 << 10;
} // namespace

void returnFreedMemory() {
#ifdef __GLIBC__
  mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, LargeBlockBytes);
#endif
}

} // namespace tarragonbridge
