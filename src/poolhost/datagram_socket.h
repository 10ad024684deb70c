/// Non-blocking UDP socket for datagrams between hosts.
#pragma once

#include "tarragonbridge/error.h"

#include <functional>
#include <string>
#include <string_view>

namespace tarragonbridge::poolhost {

class datagram_socket {
public:
  datagram_socket() = default;
  ~datagram_socket();
  datagram_socket(const datagram_socket &) = delete;
  datagram_socket &operator=(const datagram_socket &) = delete;

  /// @param[in] Address IP and port
  result<void> bind(const std::string &Address);
  /// Sends to an IP address and port. A datagram that can't be sent is dropped.
  void send(const std::string &Address, std::string_view Bytes);
  /// Receives all pending datagrams, and calls a function for each.
  void receiveAll(
      const std::function<void(std::string_view Bytes, const std::string &From)>
          &OnDatagram);
  int descriptor() const { return Fd; }

private:
  int Fd = -1;
  std::string Buffer;
};

} // namespace tarragonbridge::poolhost
