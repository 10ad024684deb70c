#include "poolhost/datagram_socket.h"

#include "net/address.h"

#include <arpa/inet.h>
#include <array>
#include <sys/socket.h>
#include <unistd.h>

namespace tarragonbridge::poolhost {

namespace {
constexpr std::size_t MaxDatagramBytes = 65'536;

std::string formatAddress(const sockaddr_in &Address) {
  std::array<char, INET_ADDRSTRLEN> Text{};
  inet_ntop(AF_INET, &Address.sin_addr, Text.data(), Text.size());
  return std::string(Text.data()) + ":" +
         std::to_string(ntohs(Address.sin_port));
}
} // namespace

datagram_socket::~datagram_socket() {
  if (Fd >= 0) {
    close(Fd);
  }
}

result<void> datagram_socket::bind(const std::string &Address) {
  const auto Parsed = parseAddress(Address);
  Fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (!Parsed || Fd < 0 ||
      ::bind(Fd, reinterpret_cast<const sockaddr *>(&*Parsed),
             sizeof(*Parsed)) != 0) {
    return boost::leaf::new_error(
        error{"bind", Address, reason::Malformed,
              "can't bind a UDP socket to the address"});
  }
  Buffer.resize(MaxDatagramBytes);
  return {};
}

void datagram_socket::send(const std::string &Address, std::string_view Bytes) {
  if (const auto Parsed = parseAddress(Address)) {
    sendto(Fd, Bytes.data(), Bytes.size(), 0,
           reinterpret_cast<const sockaddr *>(&*Parsed), sizeof(*Parsed));
  }
}

void datagram_socket::receiveAll(
    const std::function<void(std::string_view Bytes, const std::string &From)>
        &OnDatagram) {
  while (true) {
    sockaddr_in From{};
    socklen_t Size = sizeof(From);
    const ssize_t Count = recvfrom(Fd, Buffer.data(), Buffer.size(), 0,
                                   reinterpret_cast<sockaddr *>(&From), &Size);
    if (Count < 0) {
      return;
    }
    OnDatagram({Buffer.data(), static_cast<std::size_t>(Count)},
               formatAddress(From));
  }
}

} // namespace tarragonbridge::poolhost
