#include "tarragonbridge/pool/types.h"

#include <array>

namespace tarragonbridge::pool {

resource_vector &resource_vector::operator+=(const resource_vector &Other) {
  CpuMilli += Other.CpuMilli;
  MemoryMb += Other.MemoryMb;
  Accelerators += Other.Accelerators;
  return *this;
}

resource_vector &resource_vector::operator-=(const resource_vector &Other) {
  CpuMilli -= Other.CpuMilli;
  MemoryMb -= Other.MemoryMb;
  Accelerators -= Other.Accelerators;
  return *this;
}

std::string_view nameOf(attempt_outcome Outcome) {
  static constexpr std::array<std::string_view, 7> Names = {
      "done",        "failed",  "stopped", "lost",
      "not_started", "crashed", "vanished"};
  return Names.at(static_cast<std::size_t>(Outcome));
}

} // namespace tarragonbridge::pool
