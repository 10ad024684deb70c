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
constexpr int StatusCallerLeft = 499; ///< never reaches the caller
constexpr std::size_t ConnectionMemoryBytes = 20U << 10U;

/// A request from its first byte to the end of its response.
struct exchange {
  MHD_Connection *Connection = nullptr;
  request_handle Handle{};
  server_request Request;
  std::optional<server_response> Response;
  int Fd = -1;
  bool IsTooLarge = false;
  bool IsHandedOver = false; ///< its handler was called
  bool IsSuspended = false;
  bool IsAnswered = false;
};

/// @returns a handle that is unique across all servers of the process
request_handle nextHandle() {
  static std::uint64_t Last = 0;
  return request_handle{++Last};
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
bool hasLeft(MHD_Connection *Connection) {
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
  disconnect_handler OnLeft;
  MHD_Daemon *Daemon = nullptr;
  std::unordered_map<std::uint64_t, exchange *> Open;
  std::uint64_t Malformed = 0;
  bool NeedsRun = false;
  boot_time DueAt = boot_time::max();

  void run();
  MHD_Result onData(MHD_Connection *Connection, const char *Path,
                    const char *Method, const char *Data, std::size_t *Size,
                    void **Context);
  void handOver(exchange &Exchange);
  MHD_Result answer(exchange &Exchange);
  void suspend(exchange &Exchange);
  void onHangup(request_handle Handle);
  void onCompleted(exchange *Exchange);
  int epollFd() const;
};

void async_http_server::impl::run() {
  NeedsRun = false;
  MHD_run(Daemon);
  // Data that libmicrohttpd has already read raises no epoll event; its timeout
  // tells whether any is pending.
  MHD_UNSIGNED_LONG_LONG TimeoutMs = 0;
  if (MHD_get_timeout(Daemon, &TimeoutMs) != MHD_YES) {
    DueAt = boot_time::max();
    return;
  }
  NeedsRun = NeedsRun || TimeoutMs == 0;
  DueAt = bootNow() + milliseconds(TimeoutMs);
}

MHD_Result async_http_server::impl::onData(MHD_Connection *Connection,
                                           const char *Path, const char *Method,
                                           const char *Data, std::size_t *Size,
                                           void **Context) {
  auto *Exchange = static_cast<exchange *>(*Context);
  if (Exchange == nullptr) {
    Exchange = new exchange; // freed by onCompleted
    Exchange->Connection = Connection;
    Exchange->Handle = nextHandle();
    Exchange->Request.Method = Method;
    Exchange->Request.Path = Path;
    *Context = Exchange;
    return MHD_YES;
  }
  if (*Size > 0) {
    Exchange->IsTooLarge =
        Exchange->IsTooLarge ||
        Exchange->Request.Body.size() + *Size > Init.MaxBodyBytes;
    if (!Exchange->IsTooLarge) {
      Exchange->Request.Body.append(Data, *Size);
    }
    *Size = 0;
    return MHD_YES;
  }
  if (Exchange->IsTooLarge) {
    ++Malformed;
    Exchange->IsAnswered = true;
    return queueResponse(Connection, server_response{StatusTooLarge, "{}", {}});
  }
  if (!Exchange->IsHandedOver) {
    handOver(*Exchange);
  }
  if (Exchange->Response) {
    return answer(*Exchange);
  }
  suspend(*Exchange);
  return MHD_YES;
}

void async_http_server::impl::handOver(exchange &Exchange) {
  Exchange.IsHandedOver = true;
  Open[static_cast<std::uint64_t>(Exchange.Handle)] = &Exchange;
  server_request &Request = Exchange.Request;
  Request.HostName = headerOf(Exchange.Connection, MHD_HTTP_HEADER_HOST);
  Request.HostName = Request.HostName.substr(0, Request.HostName.find(':'));
  Request.TimeLimit =
      headerOf(Exchange.Connection, Init.TimeLimitHeader.c_str());
  MHD_get_connection_values(Exchange.Connection, MHD_GET_ARGUMENT_KIND,
                            collectQuery, &Request);
  if (hasLeft(Exchange.Connection)) {
    // The host may have been paused before it read the request, so that the
    // caller may be served elsewhere by now.
    Exchange.Response = server_response{StatusCallerLeft, "", {}};
    return;
  }
  OnRequest(Exchange.Handle, std::move(Request));
}

MHD_Result async_http_server::impl::answer(exchange &Exchange) {
  Open.erase(static_cast<std::uint64_t>(Exchange.Handle));
  Exchange.IsAnswered = true;
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
  const auto Found = Open.find(static_cast<std::uint64_t>(Handle));
  if (Found == Open.end() || Found->second->Response) {
    return;
  }
  exchange &Exchange = *Found->second;
  OnLeft(Handle);
  if (!Exchange.Response) {
    Exchange.Response = server_response{StatusCallerLeft, "", {}};
    Loop.unwatch(Exchange.Fd);
    MHD_resume_connection(Exchange.Connection);
    Exchange.IsSuspended = false;
    NeedsRun = true;
  }
}

void async_http_server::impl::onCompleted(exchange *Exchange) {
  if (Exchange == nullptr) {
    return;
  }
  const auto Handle = static_cast<std::uint64_t>(Exchange->Handle);
  if (Open.erase(Handle) > 0) {
    OnLeft(Exchange->Handle);
  } else if (!Exchange->IsAnswered) {
    ++Malformed; // ended before it was complete
  }
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
                    boot_time::max()}) {}

async_http_server::~async_http_server() {
  if (Impl->Daemon == nullptr) {
    return;
  }
  Impl->Loop.unwatch(Impl->epollFd());
  Impl->OnLeft = [](request_handle) {};
  for (const auto &[Handle, Exchange] : Impl->Open) {
    if (Exchange->IsSuspended) {
      Impl->Loop.unwatch(Exchange->Fd);
      Exchange->Response = server_response{StatusCallerLeft, "", {}};
      MHD_resume_connection(Exchange->Connection);
    }
  }
  MHD_stop_daemon(Impl->Daemon);
}

result<void> async_http_server::start(request_handler OnRequest,
                                      disconnect_handler OnLeft) {
  Impl->OnRequest = std::move(OnRequest);
  Impl->OnLeft = std::move(OnLeft);
  const std::optional<sockaddr_in> Address = parseAddress(Impl->Init.Listen);
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
        MHD_OPTION_CONNECTION_LIMIT, Impl->Init.MaxConnections,
        MHD_OPTION_CONNECTION_TIMEOUT,
        static_cast<unsigned>(Impl->Init.IdleTimeout.count()),
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, ConnectionMemoryBytes,
        MHD_OPTION_END);
  }
  if (Impl->Daemon == nullptr) {
    return boost::leaf::new_error(error{"listen", Impl->Init.Listen,
                                        reason::Malformed,
                                        "can't listen on the address"});
  }
  Impl->Loop.watch(Impl->epollFd(), EPOLLIN,
                   [this](std::uint32_t) { Impl->run(); });
  return {};
}

bool async_http_server::respond(request_handle Request,
                                server_response Response) {
  const auto Found = Impl->Open.find(static_cast<std::uint64_t>(Request));
  if (Found == Impl->Open.end() || Found->second->Response) {
    return false;
  }
  exchange &Exchange = *Found->second;
  Exchange.Response = std::move(Response);
  if (Exchange.IsSuspended) {
    Impl->Loop.unwatch(Exchange.Fd);
    MHD_resume_connection(Exchange.Connection);
    Exchange.IsSuspended = false;
    Impl->NeedsRun = true;
  }
  return true;
}

void async_http_server::flush(boot_time Now) {
  constexpr int MaxRounds = 8; // lets the loop handle its other events
  for (int Round = 0;
       Round < MaxRounds && (Impl->NeedsRun || Impl->DueAt <= Now); ++Round) {
    Impl->run();
  }
}

boot_time async_http_server::nextDue() const {
  return Impl->NeedsRun ? boot_time{} : Impl->DueAt;
}

void async_http_server::stopAccepting() {
  const MHD_socket Listener = MHD_quiesce_daemon(Impl->Daemon);
  if (Listener != MHD_INVALID_SOCKET) {
    close(Listener);
  }
}

std::size_t async_http_server::openRequests() const {
  return Impl->Open.size();
}

std::uint64_t async_http_server::malformed() const { return Impl->Malformed; }

} // namespace tarragonbridge::poolhost
