/// Limits on how often the store is called.
#pragma once

#include "tarragonbridge/time.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace tarragonbridge {

/// Token bucket: a number of calls a second, and a burst.
class call_budget {
public:
  call_budget(double PerSecond, double Burst)
      : PerSecond(PerSecond), Burst(Burst), Left(Burst) {}

  /// Takes one call out of the budget. @returns false when it is spent
  bool take(boot_time Now) {
    const std::chrono::duration<double> Passed = Now - RefilledAt;
    RefilledAt = Now;
    Left = std::min(Burst, Left + std::max(0.0, Passed.count()) * PerSecond);
    if (Left < 1) {
      return false;
    }
    Left -= 1;
    return true;
  }

private:
  double PerSecond;
  double Burst;
  double Left;
  boot_time RefilledAt;
};

/// Waits between failed calls: doubled each time, with full jitter over the
/// upper half.
class backoff {
public:
  backoff(milliseconds First, milliseconds Most, std::uint64_t Seed)
      : First(First), Most(Most), Next(First), Random(Seed) {}

  /// @returns how long to wait before the next call
  milliseconds next() {
    const milliseconds Wait = Next;
    Next = std::min(Most, Next * 2);
    std::uniform_int_distribution<std::int64_t> Spread(Wait.count() / 2,
                                                       Wait.count());
    return milliseconds(Spread(Random));
  }
  /// Starts again from the first wait, after a call that succeeded.
  void reset() { Next = First; }

private:
  milliseconds First;
  milliseconds Most;
  milliseconds Next;
  std::mt19937_64 Random;
};

} // namespace tarragonbridge
