/// Addresses that a test or stand-in listens on.
#pragma once

#include <cstdint>
#include <string>
#include <unistd.h>

namespace tarragonbridge {

/// @returns a loopback address that no other living process uses, so that
/// processes that test at the same time don't meet
inline std::string ownIp() {
  constexpr unsigned FirstNetwork = 64; // 127.0.x.y stays for fixed addresses
  const auto Process = static_cast<unsigned>(getpid());
  return "127." + std::to_string(FirstNetwork + (Process >> 16U)) + "." +
         std::to_string((Process >> 8U) & 0xffU) + "." +
         std::to_string(Process & 0xffU);
}

/// @returns "IP:port" of this process
inline std::string ownAddress(std::uint16_t Port) {
  return ownIp() + ":" + std::to_string(Port);
}

} // namespace tarragonbridge
