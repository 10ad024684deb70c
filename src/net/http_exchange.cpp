#include "net/http_exchange_p.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>

namespace tarragonbridge {

namespace {
std::string lowerCase(std::string_view Text) {
  std::string Lower(Text);
  std::transform(
      Lower.begin(), Lower.end(), Lower.begin(),
      [](unsigned char C) { return static_cast<char>(std::tolower(C)); });
  return Lower;
}

MHD_Result collectHeader(void *Cls, MHD_ValueKind /*Kind*/, const char *Key,
                         const char *Value) {
  auto &Headers =
      *static_cast<std::map<std::string, std::string, std::less<>> *>(Cls);
  Headers[lowerCase(Key)] = Value == nullptr ? "" : Value;
  return MHD_YES;
}

MHD_Result collectQuery(void *Cls, MHD_ValueKind /*Kind*/, const char *Key,
                        const char *Value) {
  auto &Query =
      *static_cast<std::map<std::string, std::string, std::less<>> *>(Cls);
  Query[Key] = Value == nullptr ? "" : Value;
  return MHD_YES;
}

/// Content reader callback of libmicrohttpd: copies the next bytes of a stream.
ssize_t readStream(void *Cls, std::uint64_t /*Position*/, char *Buffer,
                   std::size_t Size) {
  auto &Exchange = *static_cast<exchange *>(Cls);
  const std::lock_guard Lock(*Exchange.Mutex);
  if (!Exchange.Pending.empty()) {
    const std::size_t Count = Exchange.Pending.copy(Buffer, Size);
    Exchange.Pending.erase(0, Count);
    return static_cast<ssize_t>(Count);
  }
  if (Exchange.StreamEnded) {
    return MHD_CONTENT_READER_END_OF_STREAM;
  }
  Exchange.IsWaiting = true;
  MHD_suspend_connection(Exchange.Connection);
  return 0;
}
} // namespace

std::string peerOf(MHD_Connection *Connection) {
  const auto *Info =
      MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  if (Info == nullptr || Info->client_addr->sa_family != AF_INET) {
    return "unknown";
  }
  const auto *Address =
      reinterpret_cast<const sockaddr_in *>(Info->client_addr);
  std::array<char, INET_ADDRSTRLEN> Text{};
  inet_ntop(AF_INET, &Address->sin_addr, Text.data(), Text.size());
  return std::string(Text.data()) + ":" +
         std::to_string(ntohs(Address->sin_port));
}

void collectFields(MHD_Connection *Connection, http_request &Request) {
  MHD_get_connection_values(Connection, MHD_HEADER_KIND, collectHeader,
                            &Request.Headers);
  MHD_get_connection_values(Connection, MHD_GET_ARGUMENT_KIND, collectQuery,
                            &Request.Query);
}

MHD_Result queueStream(exchange &Exchange) {
  constexpr std::size_t BlockBytes = 4096;
  MHD_Response *Response = MHD_create_response_from_callback(
      MHD_SIZE_UNKNOWN, BlockBytes, readStream, &Exchange, nullptr);
  MHD_add_response_header(Response, "Content-Type",
                          Exchange.Response->ContentType.c_str());
  const MHD_Result Queued = MHD_queue_response(
      Exchange.Connection, static_cast<unsigned>(Exchange.Response->Status),
      Response);
  MHD_destroy_response(Response);
  return Queued;
}

void resumeStream(exchange &Exchange) {
  if (Exchange.IsWaiting) {
    Exchange.IsWaiting = false;
    MHD_resume_connection(Exchange.Connection);
  }
}

} // namespace tarragonbridge
