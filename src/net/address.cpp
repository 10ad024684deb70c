#include "net/address.h"

#include <arpa/inet.h>
#include <charconv>

namespace tarragonbridge {

std::optional<sockaddr_in> parseAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string Ip(Text.substr(0, Colon));
  const std::string_view PortText = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  const char *End = PortText.data() + PortText.size();
  const auto [Stop, Failure] = std::from_chars(PortText.data(), End, Port);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  const bool IsIp = Ip.find('\0') == std::string::npos &&
                    inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr) == 1;
  if (Failure != std::errc{} || Stop != End || !IsIp) {
    return std::nullopt;
  }
  return Address;
}

} // namespace tarragonbridge
