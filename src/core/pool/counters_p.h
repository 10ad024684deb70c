/// Counters of a pool host, shared by its modules.
#pragma once

#include "tarragonbridge/pool/pool.h"

namespace tarragonbridge::pool {

class counters {
public:
  void add(counter Counter, std::uint64_t Count = 1) {
    Values.at(static_cast<std::size_t>(Counter)) += Count;
  }
  const auto &values() const { return Values; }

private:
  std::array<std::uint64_t, static_cast<std::size_t>(counter::Count)> Values{};
};

} // namespace tarragonbridge::pool
