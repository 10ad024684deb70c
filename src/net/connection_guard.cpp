#include "net/connection_guard.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/memory.h"

#include <algorithm>
#include <charconv>
#include <sys/socket.h>

namespace tarragonbridge {

namespace {
constexpr int StatusRequestTimeout = 408;
constexpr int StatusUnavailable = 503;
/// So that a listener goes on to accept, and the budget decides who goes.
constexpr std::size_t SpareConnections = 64;
constexpr int SendBufferBytes = 64 << 10;

std::string formatResponse(int Status, std::string_view Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " " +
         MHD_get_reason_phrase_for(static_cast<unsigned>(Status)) +
         "\r\nContent-Type: application/json\r\n" +
         (Status == StatusUnavailable ? "Retry-After: 1\r\n" : "") +
         "Connection: close\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + std::string(Body);
}

void sendNow(int Socket, const std::string &Bytes) {
  (void)send(Socket, Bytes.data(), Bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

/// Ends a connection; libmicrohttpd closes it when it notices.
void cutOff(int Socket, const eviction &Eviction, std::string_view Body) {
  if (Eviction.HasRequest && !Body.empty()) {
    const int Status = Eviction.Reason == eviction_reason::TooSlow
                           ? StatusRequestTimeout
                           : StatusUnavailable;
    sendNow(Socket, formatResponse(Status, Body));
  }
  shutdown(Socket, SHUT_RDWR);
}
} // namespace

connection_guard::connection_guard(const upload_limits &Limits,
                                   std::string RefusalBody)
    : MaxConnections(Limits.MaxConnections),
      RefusalBody(std::move(RefusalBody)), Budget(Limits) {}

unsigned connection_guard::maxConnections() const {
  return static_cast<unsigned>(MaxConnections + SpareConnections);
}

void connection_guard::onConnection(void *Guard, MHD_Connection *Connection,
                                    void **SocketContext,
                                    MHD_ConnectionNotificationCode Code) {
  auto &Self = *static_cast<connection_guard *>(Guard);
  const boot_time Now = bootNow();
  const std::lock_guard Lock(Self.Mutex);
  if (Code == MHD_CONNECTION_NOTIFY_CLOSED) {
    const auto Handle = reinterpret_cast<std::uintptr_t>(*SocketContext);
    Self.Budget.close(connection_handle{Handle});
    Self.Sockets.erase(Handle);
    return;
  }
  const auto *Info =
      MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  const auto Handle = static_cast<std::uint64_t>(Self.Budget.open(Now));
  Self.Sockets[Handle] = Info->connect_fd;
  *SocketContext = reinterpret_cast<void *>(Handle); // NOLINT: not a pointer
  Self.closeEvicted(Now);
}

connection_handle connection_guard::handleOf(MHD_Connection *Connection) {
  const auto *Info =
      MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return connection_handle{
      reinterpret_cast<std::uintptr_t>(Info->socket_context)};
}

void connection_guard::beginRequest(connection_handle Connection,
                                    boot_time Now) {
  const std::lock_guard Lock(Mutex);
  Budget.beginRequest(Connection, Now);
}

void connection_guard::setUnfinished(connection_handle Connection,
                                     std::size_t Bytes, boot_time Now) {
  const std::lock_guard Lock(Mutex);
  Budget.setUnfinished(Connection, Bytes, Now);
  closeEvicted(Now);
}

void connection_guard::refuse(connection_handle Connection, int Status,
                              std::string_view Body, boot_time Now) {
  const std::lock_guard Lock(Mutex);
  const auto Socket = Sockets.find(static_cast<std::uint64_t>(Connection));
  if (Socket == Sockets.end()) {
    return;
  }
  sendNow(Socket->second, formatResponse(Status, Body));
  shutdown(Socket->second, SHUT_WR);
  Budget.refuse(Connection, eviction_reason::TooLarge, Now);
}

bool connection_guard::complete(connection_handle Connection) {
  const std::lock_guard Lock(Mutex);
  return Budget.complete(Connection);
}

bool connection_guard::hold(connection_handle Connection, std::size_t Bytes) {
  const std::lock_guard Lock(Mutex);
  return Budget.hold(Connection, Bytes);
}

void connection_guard::answer(connection_handle Connection, std::size_t Bytes,
                              boot_time Now) {
  const std::lock_guard Lock(Mutex);
  Budget.answer(Connection, Bytes, Now);
  closeEvicted(Now);
}

void connection_guard::finish(connection_handle Connection, boot_time Now) {
  const std::lock_guard Lock(Mutex);
  Budget.finish(Connection, Now);
}

void connection_guard::closeOverdue(boot_time Now) {
  const std::lock_guard Lock(Mutex);
  closeEvicted(Now);
}

upload_figures connection_guard::figures() const {
  const std::lock_guard Lock(Mutex);
  return Budget.figures();
}

void connection_guard::closeEvicted(boot_time Now) {
  for (const eviction &Eviction : Budget.evict(Now)) {
    const auto Handle = static_cast<std::uint64_t>(Eviction.Connection);
    cutOff(Sockets.at(Handle), Eviction, RefusalBody);
    logEvent("connection_cut",
             {{"reason", std::string(nameOf(Eviction.Reason))},
              {"connections", std::to_string(Budget.figures().Connections)}});
  }
}

std::size_t announcedBodyBytes(MHD_Connection *Connection) {
  const char *Value = MHD_lookup_connection_value(
      Connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
  const std::string_view Text(Value == nullptr ? "" : Value);
  std::size_t Bytes = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Bytes);
  return Bytes;
}

void appendToBody(std::string &Body, std::string_view Part) {
  constexpr std::size_t SmallBodyBytes = 8U << 10U;
  const std::size_t Bytes = Body.size() + Part.size();
  if (Bytes > SmallBodyBytes && Bytes > Body.capacity()) {
    Body.reserve(std::max(Bytes, LargeBlockBytes));
  }
  Body.append(Part);
}

void limitSocketBuffers(MHD_Daemon *Daemon, int ReceiveBytes) {
  const auto *Info = MHD_get_daemon_info(Daemon, MHD_DAEMON_INFO_LISTEN_FD);
  if (Info == nullptr || Info->listen_fd == MHD_INVALID_SOCKET) {
    return;
  }
  // Accepted sockets inherit these.
  setsockopt(Info->listen_fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
             sizeof(ReceiveBytes));
  setsockopt(Info->listen_fd, SOL_SOCKET, SO_SNDBUF, &SendBufferBytes,
             sizeof(SendBufferBytes));
}

} // namespace tarragonbridge
