/// Actions at times of the boot clock, for one loop.
#pragma once

#include "tarragonbridge/time.h"

#include <functional>
#include <map>

namespace tarragonbridge::emulator {

class schedule {
public:
  void at(boot_time When, std::function<void()> Action) {
    Actions.emplace(When, std::move(Action));
  }
  /// @returns when the next action is due
  boot_time nextDueAt() const {
    return Actions.empty() ? boot_time::max() : Actions.begin()->first;
  }
  void runDue(boot_time Now) {
    while (!Actions.empty() && Actions.begin()->first <= Now) {
      const std::function<void()> Action = std::move(Actions.begin()->second);
      Actions.erase(Actions.begin());
      Action();
    }
  }

private:
  std::multimap<boot_time, std::function<void()>> Actions;
};

} // namespace tarragonbridge::emulator
