#include "link.h"

#include "platform.h"

#include <arpa/inet.h>
#include <cstdlib>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace standin {

namespace {
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

void resetChannel(int Socket) {
  const linger AtOnce{1, 0};
  setsockopt(Socket, SOL_SOCKET, SO_LINGER, &AtOnce, sizeof(AtOnce));
  close(Socket);
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

void client_link::pass(int Client) {
  const int Host = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in To = socketAddress(Machine);
  bool IsOpen =
      connect(Host, reinterpret_cast<const sockaddr *>(&To), sizeof(To)) == 0;
  bool HasLeft = false;
  while (IsOpen) {
    pollfd Sockets[2] = {{HasLeft ? -1 : Client, POLLIN, 0}, {Host, POLLIN, 0}};
    poll(Sockets, 2, -1);
    char Bytes[8192];
    if (Sockets[0].revents != 0) {
      const ssize_t Size = recv(Client, Bytes, sizeof(Bytes), 0);
      HasLeft = Size <= 0;
      const bool IsLost = HasLeft && IsStopped;
      if (HasLeft) {
        record(IsLost ? "the reset of a client's channel is lost"
                      : "a client's channel ends");
      }
      IsOpen =
          IsLost ||
          (Size > 0 && sendWhole(Host, Bytes, static_cast<std::size_t>(Size)));
    }
    if (IsOpen && Sockets[1].revents != 0) {
      const ssize_t Size = recv(Host, Bytes, sizeof(Bytes), 0);
      IsOpen = Size > 0 && !HasLeft &&
               sendWhole(Client, Bytes, static_cast<std::size_t>(Size));
    }
  }
  resetChannel(Host);
  resetChannel(Client);
}

bool postAndLeave(const std::string &Address, const std::string &Path,
                  const std::string &Body, int LimitMs, int LeavesAfterMs) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in To = socketAddress(Address);
  const std::string Text =
      "POST " + Path + " HTTP/1.1\r\nHost: desk.example\r\n" +
      "Remaining-Milliseconds: " + std::to_string(LimitMs) +
      "\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(Body.size()) + "\r\n\r\n" + Body;
  pollfd Answer{Socket, POLLIN, 0};
  const bool IsAnswered =
      connect(Socket, reinterpret_cast<const sockaddr *>(&To), sizeof(To)) ==
          0 &&
      sendWhole(Socket, Text.data(), Text.size()) &&
      poll(&Answer, 1, LeavesAfterMs) > 0;
  resetChannel(Socket);
  return IsAnswered;
}

} // namespace standin
