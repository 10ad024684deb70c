#include "crowd/datagrams.h"

#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace tarragonbridge::crowd {

namespace {
/// Sent between two pauses, so that the receiver's queue takes most of them.
constexpr std::size_t BurstBytes = 64U << 10U;
constexpr milliseconds BurstPause{2};

std::vector<int> openSockets(const sockaddr_in &Address, int Count) {
  std::vector<int> Sockets;
  for (int Index = 0; Index < Count; ++Index) {
    Sockets.push_back(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0));
    (void)connect(Sockets.back(), reinterpret_cast<const sockaddr *>(&Address),
                  sizeof(Address));
  }
  return Sockets;
}
} // namespace

void sendDatagrams(const sockaddr_in &Address, const form &Form, int Senders) {
  const std::vector<int> Sockets = openSockets(Address, Senders);
  std::size_t Burst = 0;
  for (std::size_t Index = 0; Index < Form.Units; ++Index) {
    for (std::size_t Sender = 0; Sender < Sockets.size(); ++Sender) {
      const std::string Unit = Form.unitOf(Index, Sender);
      (void)send(Sockets[Sender], Unit.data(), Unit.size(), 0);
      Burst += Unit.size();
      if (Burst >= BurstBytes) {
        std::this_thread::sleep_for(BurstPause);
        Burst = 0;
      }
    }
  }
  for (const int Socket : Sockets) {
    close(Socket);
  }
}

} // namespace tarragonbridge::crowd
