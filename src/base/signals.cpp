#include "base/signals.h"

#include <csignal>
#include <pthread.h>

namespace tarragonbridge {

namespace {
sigset_t terminationSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  return Set;
}
} // namespace

void blockTerminationSignals() {
  const sigset_t Set = terminationSignals();
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

int waitForTerminationSignal() {
  const sigset_t Set = terminationSignals();
  int Signal = 0;
  while (sigwait(&Set, &Signal) != 0) {
  }
  return Signal;
}

} // namespace tarragonbridge
