#include "poolhost/async_http_server.h"

#include "base/clock.h"
#include "net/address.h"
#include "net/mhd_response.h"

#include <microhttpd.h>
#include <optional>
#include <poll.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <unordered_map>

namespace tarragonbridge::poolhost {

namespace {
constexpr int StatusTooLarge = 413;
constexpr int StatusClientClosedRequest = 499; ///< never reaches the caller
constexpr std::size_t ConnectionMemoryBytes = 20U << 10U;
/// Of a refused body, before its connection is closed.
constexpr std::size_t MaxDroppedBytes = 1U << 20U;
constexpr int ReceiveBufferBytes = 8 << 10;
/// Of a server that shares no guard.
constexpr upload_limits OwnLimits{2'000, 1U << 30U, 1U << 30U};

/// A request from its first byte to the end of its response.
struct exchange {
  MHD_Connection *Connection = nullptr;
  connection_handle Guarded{};
  request_handle Handle{};
  server_request Request;
  std::optional<server_response> Response;
  int Fd = -1;
  bool IsRefused = false; ///< while its body was read, which is dropped
  std::size_t DroppedBytes = 0;
  bool IsDispatched = false; ///< its handler was called
  bool IsSuspended = false;
  bool IsResponseQueued = false;
};

/// @returns a handle that is unique across all servers of the process
request_handle nextHandle() {
  static std::uint64_t LastHandle = 0;
  return request_handle{++LastHandle};
}

std::string headerOf(MHD_Connection *Connection, const char *Name) {
  const char *Value =
      MHD_lookup_connection_value(Connection, MHD_HEADER_KIND, Name);
  return Value == nullptr ? "" : Value;
}

int socketOf(MHD_Connection *Connection) {
  const auto *Info =
      MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return Info == nullptr ? -1 : Info->connect_fd;
}

/// @returns whether the caller has closed its side of the connection
bool hasDisconnected(MHD_Connection *Connection) {
  pollfd Socket{socketOf(Connection), POLLRDHUP, 0};
  return poll(&Socket, 1, 0) > 0 &&
         (Socket.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

MHD_Result collectQuery(void *Cls, MHD_ValueKind /*Kind*/, const char *Key,
                        const char *Value) {
  static_cast<server_request *>(Cls)->Query[Key] =
      Value == nullptr ? "" : Value;
  return MHD_YES;
}

} // namespace

struct async_http_server::impl {
  epoll_loop &Loop;
  server_init Init;
  request_handler OnRequest;
  disconnect_handler OnDisconnect;
  MHD_Daemon *Daemon = nullptr;
  std::unordered_map<std::uint64_t, exchange *> OpenExchanges;
  std::uint64_t Malformed = 0;
  bool IsRunPending = false;
  boot_time DueAt = boot_time::max();
  boot_time RunAt; ///< the latest run() began

  void run();
  MHD_Result onData(MHD_Connection *Connection, const char *Path,
                    const char *Method, const char *Data, std::size_t *Size,
                    void **Context);
  void *beginExchange(MHD_Connection *Connection, const char *Path,
                      const char *Method);
  bool readBody(exchange &Exchange, std::string_view Part);
  void refuseTooLarge(exchange &Exchange);
  void dispatch(exchange &Exchange);
  MHD_Result sendResponse(exchange &Exchange);
  void suspend(exchange &Exchange);
  void onHangup(request_handle Handle);
  void onCompleted(exchange *Exchange);
  int epollFd() const;
};

void async_http_server::impl::run() {
  IsRunPending = false;
  RunAt = bootNow();
  MHD_run(Daemon);
  // Data that libmicrohttpd has already read raises no epoll event; its timeout
  // tells whether any is pending.
  MHD_UNSIGNED_LONG_LONG TimeoutMs = 0;
  if (MHD_get_timeout(Daemon, &TimeoutMs) != MHD_YES) {
    DueAt = boot_time::max();
    return;
  }
  IsRunPending = IsRunPending || TimeoutMs == 0;
  DueAt = bootNow() + milliseconds(TimeoutMs);
}

void *async_http_server::impl::beginExchange(MHD_Connection *Connection,
                                             const char *Path,
                                             const char *Method) {
  auto *Exchange = new exchange; // freed by onCompleted
  Exchange->Connection = Connection;
  Exchange->Guarded = connection_guard::handleOf(Connection);
  Exchange->Handle = nextHandle();
  Exchange->Request.Method = Method;
  Exchange->Request.Path = Path;
  Init.Guard->beginRequest(Exchange->Guarded, RunAt);
  if (announcedBodyBytes(Connection) > Init.MaxBodyBytes) {
    refuseTooLarge(*Exchange);
  }
  return Exchange;
}

void async_http_server::impl::refuseTooLarge(exchange &Exchange) {
  Exchange.IsRefused = true;
  std::string().swap(Exchange.Request.Body);
  Init.Guard->refuse(Exchange.Guarded, StatusTooLarge, "{}", RunAt);
}

/// @returns false if the connection has to be closed
bool async_http_server::impl::readBody(exchange &Exchange,
                                       std::string_view Part) {
  std::string &Body = Exchange.Request.Body;
  if (!Exchange.IsRefused && Body.size() + Part.size() > Init.MaxBodyBytes) {
    refuseTooLarge(Exchange);
  }
  if (Exchange.IsRefused) {
    Exchange.DroppedBytes += Part.size();
    return Exchange.DroppedBytes <= MaxDroppedBytes;
  }
  appendToBody(Body, Part);
  Init.Guard->setUnfinished(Exchange.Guarded, Body.capacity(), RunAt);
  return true;
}

MHD_Result async_http_server::impl::onData(MHD_Connection *Connection,
                                           const char *Path, const char *Method,
                                           const char *Data, std::size_t *Size,
                                           void **Context) {
  if (*Context == nullptr) {
    *Context = beginExchange(Connection, Path, Method);
    return MHD_YES;
  }
  auto *Exchange = static_cast<exchange *>(*Context);
  if (*Size > 0) {
    const bool GoesOn = readBody(*Exchange, {Data, *Size});
    *Size = 0;
    return GoesOn ? MHD_YES : MHD_NO;
  }
  if (!Exchange->IsDispatched) {
    if (Exchange->IsRefused || !Init.Guard->complete(Exchange->Guarded)) {
      return MHD_NO;
    }
    dispatch(*Exchange);
  }
  if (Exchange->Response) {
    return sendResponse(*Exchange);
  }
  suspend(*Exchange);
  return MHD_YES;
}

void async_http_server::impl::dispatch(exchange &Exchange) {
  Exchange.IsDispatched = true;
  OpenExchanges[static_cast<std::uint64_t>(Exchange.Handle)] = &Exchange;
  // Its memory is given back once the handler returns.
  server_request Request = std::move(Exchange.Request);
  Request.HostName = headerOf(Exchange.Connection, MHD_HTTP_HEADER_HOST);
  Request.HostName = Request.HostName.substr(0, Request.HostName.find(':'));
  Request.TimeLimit =
      headerOf(Exchange.Connection, Init.TimeLimitHeader.c_str());
  MHD_get_connection_values(Exchange.Connection, MHD_GET_ARGUMENT_KIND,
                            collectQuery, &Request);
  if (hasDisconnected(Exchange.Connection)) {
    // The host may have been paused before it read the request, so that the
    // caller may be served elsewhere by now.
    Exchange.Response = server_response{StatusClientClosedRequest, "", {}};
    return;
  }
  OnRequest(Exchange.Handle, std::move(Request));
}

MHD_Result async_http_server::impl::sendResponse(exchange &Exchange) {
  OpenExchanges.erase(static_cast<std::uint64_t>(Exchange.Handle));
  Exchange.IsResponseQueued = true;
  // The library keeps a copy.
  Init.Guard->answer(Exchange.Guarded, 2 * Exchange.Response->Body.size(),
                     RunAt);
  return queueResponse(Exchange.Connection, *Exchange.Response);
}

void async_http_server::impl::suspend(exchange &Exchange) {
  Exchange.Fd = socketOf(Exchange.Connection);
  MHD_suspend_connection(Exchange.Connection);
  Exchange.IsSuspended = true;
  // libmicrohttpd doesn't poll suspended connections, so the event loop detects
  // their disconnection.
  if (Exchange.Fd >= 0) {
    Loop.watch(
        Exchange.Fd, EPOLLRDHUP | EPOLLONESHOT,
        [this, Handle = Exchange.Handle](std::uint32_t) { onHangup(Handle); });
  }
}

void async_http_server::impl::onHangup(request_handle Handle) {
  const auto Found = OpenExchanges.find(static_cast<std::uint64_t>(Handle));
  if (Found == OpenExchanges.end() || Found->second->Response) {
    return;
  }
  exchange &Exchange = *Found->second;
  OnDisconnect(Handle);
  if (!Exchange.Response) {
    Exchange.Response = server_response{StatusClientClosedRequest, "", {}};
    Loop.unwatch(Exchange.Fd);
    MHD_resume_connection(Exchange.Connection);
    Exchange.IsSuspended = false;
    IsRunPending = true;
  }
}

void async_http_server::impl::onCompleted(exchange *Exchange) {
  if (Exchange == nullptr) {
    return;
  }
  const auto Handle = static_cast<std::uint64_t>(Exchange->Handle);
  if (OpenExchanges.erase(Handle) > 0) {
    OnDisconnect(Exchange->Handle);
  } else if (!Exchange->IsResponseQueued) {
    ++Malformed; // ended before it was complete
  }
  Init.Guard->finish(Exchange->Guarded, RunAt);
  delete Exchange;
}

int async_http_server::impl::epollFd() const {
  const auto *Info = MHD_get_daemon_info(Daemon, MHD_DAEMON_INFO_EPOLL_FD);
  return Info == nullptr ? -1 : Info->epoll_fd;
}

async_http_server::async_http_server(epoll_loop &Loop, server_init Init)
    : Impl(new impl{Loop,
                    std::move(Init),
                    {},
                    {},
                    nullptr,
                    {},
                    0,
                    false,
                    boot_time::max(),
                    {}}) {
  if (!Impl->Init.Guard) {
    Impl->Init.Guard = std::make_shared<connection_guard>(OwnLimits, "");
  }
}

async_http_server::~async_http_server() {
  if (Impl->Daemon == nullptr) {
    return;
  }
  Impl->Loop.unwatch(Impl->epollFd());
  Impl->OnDisconnect = [](request_handle) {};
  for (const auto &[Handle, Exchange] : Impl->OpenExchanges) {
    if (Exchange->IsSuspended) {
      Impl->Loop.unwatch(Exchange->Fd);
      Exchange->Response = server_response{StatusClientClosedRequest, "", {}};
      MHD_resume_connection(Exchange->Connection);
    }
  }
  MHD_stop_daemon(Impl->Daemon);
}

result<void> async_http_server::start(request_handler OnRequest,
                                      disconnect_handler OnDisconnect) {
  Impl->OnRequest = std::move(OnRequest);
  Impl->OnDisconnect = std::move(OnDisconnect);
  const std::optional<sockaddr_in> Address =
      parseAddress(Impl->Init.ListenAddress);
  if (Address) {
    const MHD_AccessHandlerCallback OnData =
        [](void *Cls, MHD_Connection *Connection, const char *Path,
           const char *Method, const char * /*Version*/, const char *Data,
           std::size_t *Size, void **Context) {
          return static_cast<impl *>(Cls)->onData(Connection, Path, Method,
                                                  Data, Size, Context);
        };
    const MHD_RequestCompletedCallback OnCompleted =
        [](void *Cls, MHD_Connection * /*Connection*/, void **Context,
           MHD_RequestTerminationCode /*Code*/) {
          static_cast<impl *>(Cls)->onCompleted(
              static_cast<exchange *>(*Context));
          *Context = nullptr;
        };
    Impl->Daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, ntohs(Address->sin_port),
        nullptr, nullptr, OnData, Impl.get(), MHD_OPTION_SOCK_ADDR, &*Address,
        MHD_OPTION_NOTIFY_COMPLETED, OnCompleted, Impl.get(),
        MHD_OPTION_NOTIFY_CONNECTION, &connection_guard::onConnection,
        Impl->Init.Guard.get(), MHD_OPTION_CONNECTION_LIMIT,
        Impl->Init.Guard->maxConnections(), MHD_OPTION_CONNECTION_TIMEOUT,
        static_cast<unsigned>(Impl->Init.IdleTimeout.count()),
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, ConnectionMemoryBytes,
        MHD_OPTION_END);
  }
  if (Impl->Daemon == nullptr) {
    return boost::leaf::new_error(error{"listen", Impl->Init.ListenAddress,
                                        reason::Malformed,
                                        "can't listen on the address"});
  }
  limitSocketBuffers(Impl->Daemon, ReceiveBufferBytes);
  Impl->Loop.watch(Impl->epollFd(), EPOLLIN,
                   [this](std::uint32_t) { Impl->run(); });
  return {};
}

bool async_http_server::respond(request_handle Request,
                                server_response Response) {
  const auto Found =
      Impl->OpenExchanges.find(static_cast<std::uint64_t>(Request));
  if (Found == Impl->OpenExchanges.end() || Found->second->Response) {
    return false;
  }
  exchange &Exchange = *Found->second;
  Exchange.Response = std::move(Response);
  if (Exchange.IsSuspended) {
    Impl->Loop.unwatch(Exchange.Fd);
    MHD_resume_connection(Exchange.Connection);
    Exchange.IsSuspended = false;
    Impl->IsRunPending = true;
  }
  return true;
}

bool async_http_server::hold(request_handle Request, std::size_t Bytes) {
  const auto Found =
      Impl->OpenExchanges.find(static_cast<std::uint64_t>(Request));
  return Found != Impl->OpenExchanges.end() &&
         Impl->Init.Guard->hold(Found->second->Guarded, Bytes);
}

void async_http_server::flush(boot_time Now) {
  Impl->Init.Guard->closeOverdue(Now);
  constexpr int MaxRounds = 8; // lets the loop handle its other events
  for (int Round = 0;
       Round < MaxRounds && (Impl->IsRunPending || Impl->DueAt <= Now);
       ++Round) {
    Impl->run();
  }
}

boot_time async_http_server::nextDueAt() const {
  return Impl->IsRunPending ? boot_time{} : Impl->DueAt;
}

void async_http_server::stopAccepting() {
  const MHD_socket Listener = MHD_quiesce_daemon(Impl->Daemon);
  if (Listener != MHD_INVALID_SOCKET) {
    close(Listener);
  }
}

std::size_t async_http_server::openRequests() const {
  return Impl->OpenExchanges.size();
}

std::uint64_t async_http_server::malformedRequests() const {
  return Impl->Malformed;
}

} // namespace tarragonbridge::poolhost
