/// Embeds one coordination part: tells a server that fails everything from bad
/// jobs.
#include "tarragonbridge/target_health.h"

#include <iostream>

using namespace tarragonbridge;

int main() {
  target_health Health;
  const boot_time Now(std::chrono::hours(1));
  for (const char *Job : {"a", "a", "b", "c"}) {
    if (Health.onFailed(Job)) {
      const boot_time Until = Health.setAside(Now);
      std::cout << "set aside for "
                << std::chrono::floor<milliseconds>(Until - Now).count()
                << " ms\n";
    }
  }
  Health.onDone(); // a probe succeeded
  return Health.state(Now) == health_state::Well ? 0 : 1;
}
