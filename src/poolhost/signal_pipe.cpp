#include "poolhost/signal_pipe.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <unistd.h>

namespace tarragonbridge::poolhost {

namespace {
int ReadEnd = -1;
int WriteEnd = -1;

void onSignal(int Number) {
  const char Byte = Number == SIGHUP ? 'h' : 'e';
  // If the pipe is full, the loop already has signals to read.
  [[maybe_unused]] const ssize_t Written = write(WriteEnd, &Byte, 1);
}
} // namespace

void installSignalHandlers() {
  std::array<int, 2> Ends{};
  if (pipe2(Ends.data(), O_NONBLOCK | O_CLOEXEC) == 0) {
    ReadEnd = Ends[0];
    WriteEnd = Ends[1];
  }
  struct sigaction Action {};
  Action.sa_handler = onSignal;
  for (const int Number : {SIGTERM, SIGINT, SIGHUP}) {
    sigaction(Number, &Action, nullptr);
  }
  Action.sa_handler = SIG_IGN;
  sigaction(SIGPIPE, &Action, nullptr);
}

int signalDescriptor() { return ReadEnd; }

std::vector<signal_kind> readSignals() {
  std::vector<signal_kind> Signals;
  char Byte = 0;
  while (read(ReadEnd, &Byte, 1) == 1) {
    Signals.push_back(Byte == 'h' ? signal_kind::Reload
                                  : signal_kind::Terminate);
  }
  return Signals;
}

} // namespace tarragonbridge::poolhost
