#include "base/memory.h"

#include <malloc.h>

namespace tarragonbridge {

namespace {
// These are the allocator's first values, which it raises by itself unless they
// are set; blocks of many connections would then stay in a scattered heap.
constexpr int LargeBlockBytes = 128 << 10;
} // namespace

void returnFreedMemory() {
#ifdef __GLIBC__
  mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, LargeBlockBytes);
#endif
}

} // namespace tarragonbridge
