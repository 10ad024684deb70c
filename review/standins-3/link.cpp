#include "link.h"

#include "platform.h"

#include <arpa/inet.h>
#include <cstdlib>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace standin {

namespace {
constexpr std::int64_t FirstRetransmissionMs = 200;

sockaddr_in socketAddress(const std::string &Address) {
  const std::size_t Colon = Address.find(':');
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port =
      htons(static_cast<std::uint16_t>(std::atoi(Address.c_str() + Colon + 1)));
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &To.sin_addr);
  return To;
}

bool sendWhole(int Socket, const char *Bytes, std::size_t Size) {
  while (Size > 0) {
    const ssize_t Sent = send(Socket, Bytes, Size, MSG_NOSIGNAL);
    if (Sent <= 0) {
      return false;
    }
    Bytes += Sent;
    Size -= static_cast<std::size_t>(Sent);
  }
  return true;
}
} // namespace

client_link::client_link(const std::string &Ip, std::string Machine)
    : Address(Ip + ":" + std::to_string(freePort(Ip))),
      Machine(std::move(Machine)) {
  const int Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in To = socketAddress(Address);
  if (bind(Listener, reinterpret_cast<const sockaddr *>(&To), sizeof(To)) !=
          0 ||
      listen(Listener, 64) != 0) {
    record("the link of the clients can't be opened");
    std::exit(2);
  }
  std::thread([this, Listener] { accept(Listener); }).detach();
}

void client_link::accept(int Listener) {
  while (true) {
    const int Client = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Client >= 0) {
      std::thread([this, Client] { pass(Client); }).detach();
    }
  }
}

void client_link::waitUntilTaken(std::int64_t SentAt) {
  std::int64_t Timeout = FirstRetransmissionMs;
  std::int64_t At = SentAt;
  while (IsStopped) {
    At += Timeout;
    Timeout *= 2;
    sleepMs(At - nowMs());
  }
}

void client_link::pass(int Client) {
  const int Host = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in To = socketAddress(Machine);
  bool IsOpen =
      connect(Host, reinterpret_cast<const sockaddr *>(&To), sizeof(To)) == 0;
  while (IsOpen) {
    pollfd Sockets[2] = {{Client, POLLIN, 0}, {Host, POLLIN, 0}};
    poll(Sockets, 2, -1);
    char Bytes[8192];
    if (Sockets[0].revents != 0) {
      const std::int64_t SentAt = nowMs();
      const ssize_t Size = recv(Client, Bytes, sizeof(Bytes), 0);
      waitUntilTaken(SentAt);
      IsOpen =
          Size > 0 && sendWhole(Host, Bytes, static_cast<std::size_t>(Size));
      if (Size <= 0) {
        record("the end of a client's channel reaches the machine " +
               std::to_string(nowMs() - SentAt) + " ms after it was sent");
      }
    }
    if (IsOpen && Sockets[1].revents != 0) {
      const ssize_t Size = recv(Host, Bytes, sizeof(Bytes), 0);
      IsOpen =
          Size > 0 && sendWhole(Client, Bytes, static_cast<std::size_t>(Size));
    }
  }
  close(Host);
  close(Client);
}

} // namespace standin
