#include "base/memory.h"

#include <malloc.h>

namespace tarragonbridge {

void returnFreedMemory() {
#ifdef __GLIBC__
  // Set, as the allocator would raise its thresholds by itself, and blocks of
  // many connections would stay in a scattered heap.
  mallopt(M_MMAP_THRESHOLD, static_cast<int>(LargeBlockBytes));
  mallopt(M_TRIM_THRESHOLD, static_cast<int>(LargeBlockBytes));
#endif
}

} // namespace tarragonbridge
