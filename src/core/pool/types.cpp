#include "tarragonbridge/pool/types.h"

#include <array>

namespace tarragonbridge::pool {

task_needs &task_needs::operator+=(const task_needs &Other) {
  CpuMilli += Other.CpuMilli;
  MemoryMb += Other.MemoryMb;
  Accelerators += Other.Accelerators;
  return *this;
}

task_needs &task_needs::operator-=(const task_needs &Other) {
  CpuMilli -= Other.CpuMilli;
  MemoryMb -= Other.MemoryMb;
  Accelerators -= Other.Accelerators;
  return *this;
}

std::string_view nameOf(attempt_end End) {
  static constexpr std::array<std::string_view, 5> Names = {
      "done", "failed", "stopped", "lost", "not_started"};
  return Names.at(static_cast<std::size_t>(End));
}

} // namespace tarragonbridge::pool
