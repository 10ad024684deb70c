#include "net/http_server.h"

#include "base/clock.h"
#include "net/address.h"
#include "net/http_exchange_p.h"
#include "net/mhd_response.h"

#include <atomic>
#include <microhttpd.h>
#include <mutex>
#include <unistd.h>
#include <unordered_map>

namespace tarragonbridge {

namespace {
constexpr int StatusTooLarge = 413;
constexpr int StatusTooMany = 429;
/// Of a refused body, before its connection is closed.
constexpr std::size_t MaxDroppedBytes = 1U << 20U;
/// Of a server that shares no guard.
constexpr upload_limits OwnLimits{config::MaxCallerConnections, 1U << 30U,
                                  1U << 30U, config::MaxUploadTime};
constexpr std::size_t ConnectionMemoryBytes = 16U << 10U;
constexpr int ReceiveBufferBytes = 64 << 10; // large bodies within their time

/// @returns the response to a request that is open when the server stops
http_response stoppingResponse() { return {503, "", {}, "application/json"}; }

/// The body isn't read, so the request may repeat a submission that has run.
std::string refusalBody(std::string_view Reason, std::string_view Message) {
  return R"({"key":"","state":"refused","reason":")" + std::string(Reason) +
         R"(","not_run":false,"step":"read body","peer":"caller","message":")" +
         std::string(Message) + R"("})";
}
} // namespace

struct http_server::impl {
  http_server_init Init;
  handler Handler;
  MHD_Daemon *Daemon = nullptr;
  std::atomic<std::uint64_t> NextHandle{1};
  mutable std::mutex Mutex;
  std::unordered_map<std::uint64_t, exchange *>
      OpenExchanges;       ///< guarded by Mutex
  bool IsStopping = false; ///< guarded by Mutex; no new request is accepted
  std::atomic<std::size_t> Open{0};

  exchange *open(MHD_Connection *Connection, const char *Path,
                 const char *Method);
  bool readBody(exchange &Exchange, std::string_view Part) const;
  void refuseTooLarge(exchange &Exchange) const;
  MHD_Result deliver(exchange &Exchange);
  MHD_Result answer(exchange &Exchange);

  static MHD_Result onAccess(void *Cls, MHD_Connection *Connection,
                             const char *Path, const char *Method,
                             const char *Version, const char *Data,
                             std::size_t *Size, void **Context);
  static void onCompleted(void *Cls, MHD_Connection *Connection, void **Context,
                          MHD_RequestTerminationCode Code);
};

exchange *http_server::impl::open(MHD_Connection *Connection, const char *Path,
                                  const char *Method) {
  auto *Exchange = new exchange; // freed in onCompleted
  Exchange->Connection = Connection;
  Exchange->Handle = request_handle(NextHandle++);
  Exchange->Mutex = &Mutex;
  Exchange->Guarded = connection_guard::handleOf(Connection);
  Init.Guard->beginRequest(Exchange->Guarded, bootNow());
  Exchange->Request.Method = Method;
  Exchange->Request.Path = Path;
  Exchange->Request.Peer = peerOf(Connection);
  if (announcedBodyBytes(Connection) > Init.MaxBodyBytes) {
    refuseTooLarge(*Exchange);
  }
  ++Open;
  return Exchange;
}

void http_server::impl::refuseTooLarge(exchange &Exchange) const {
  Exchange.IsRefused = true;
  std::string().swap(Exchange.Request.Body);
  Init.Guard->refuse(Exchange.Guarded, StatusTooLarge,
                     refusalBody("too_large", "the body is too large"),
                     bootNow());
}

/// @returns false if the connection has to be closed
bool http_server::impl::readBody(exchange &Exchange,
                                 std::string_view Part) const {
  std::string &Body = Exchange.Request.Body;
  if (!Exchange.IsRefused && Body.size() + Part.size() > Init.MaxBodyBytes) {
    refuseTooLarge(Exchange);
  }
  if (Exchange.IsRefused) {
    Exchange.DroppedBytes += Part.size();
    return Exchange.DroppedBytes <= MaxDroppedBytes;
  }
  appendToBody(Body, Part);
  Init.Guard->setUnfinished(Exchange.Guarded, Body.capacity(), bootNow());
  return true;
}

MHD_Result http_server::impl::deliver(exchange &Exchange) {
  if (Exchange.IsRefused || !Init.Guard->complete(Exchange.Guarded)) {
    return MHD_NO;
  }
  Exchange.Request.HasRoom =
      Init.Guard->hold(Exchange.Guarded, Exchange.Request.Body.capacity());
  if (!Exchange.Request.HasRoom && !Init.HandlesWithoutRoom) {
    std::string().swap(Exchange.Request.Body);
    Init.Guard->answer(Exchange.Guarded, 0, bootNow());
    return queueResponse(
        Exchange.Connection,
        http_response{StatusTooMany,
                      refusalBody("queue_full", "too many bytes of jobs"),
                      {{"Retry-After", "1"}}});
  }
  const request_handle Handle = Exchange.Handle;
  http_request Request = std::move(Exchange.Request);
  collectFields(Exchange.Connection, Request);
  {
    // Suspended before the handler has the handle, so that no response precedes
    // the suspension.
    const std::lock_guard Lock(Mutex);
    Exchange.Delivered = true;
    if (IsStopping) {
      return queueResponse(Exchange.Connection, stoppingResponse());
    }
    MHD_suspend_connection(Exchange.Connection);
    OpenExchanges.emplace(static_cast<std::uint64_t>(Handle), &Exchange);
  }
  Handler(Handle, std::move(Request));
  return MHD_YES;
}

MHD_Result http_server::impl::answer(exchange &Exchange) {
  const std::lock_guard Lock(Mutex);
  if (!Exchange.Response) {
    return MHD_YES;
  }
  if (Exchange.IsStream) {
    return queueStream(Exchange);
  }
  // The library keeps a copy.
  Init.Guard->answer(Exchange.Guarded, 2 * Exchange.Response->Body.size(),
                     bootNow());
  return queueResponse(Exchange.Connection, *Exchange.Response);
}

MHD_Result http_server::impl::onAccess(void *Cls, MHD_Connection *Connection,
                                       const char *Path, const char *Method,
                                       const char * /*Version*/,
                                       const char *Data, std::size_t *Size,
                                       void **Context) {
  auto &Self = *static_cast<impl *>(Cls);
  if (*Context == nullptr) {
    *Context = Self.open(Connection, Path, Method);
    return MHD_YES;
  }
  auto &Exchange = *static_cast<exchange *>(*Context);
  if (*Size != 0) {
    const bool GoesOn = Self.readBody(Exchange, {Data, *Size});
    *Size = 0;
    return GoesOn ? MHD_YES : MHD_NO;
  }
  return Exchange.Delivered ? Self.answer(Exchange) : Self.deliver(Exchange);
}

void http_server::impl::onCompleted(void *Cls, MHD_Connection * /*Connection*/,
                                    void **Context,
                                    MHD_RequestTerminationCode /*Code*/) {
  auto &Self = *static_cast<impl *>(Cls);
  auto *Exchange = static_cast<exchange *>(*Context);
  if (Exchange == nullptr) {
    return;
  }
  {
    const std::lock_guard Lock(Self.Mutex);
    Self.OpenExchanges.erase(static_cast<std::uint64_t>(Exchange->Handle));
  }
  Self.Init.Guard->finish(Exchange->Guarded, bootNow());
  delete Exchange;
  *Context = nullptr;
  --Self.Open;
}

std::string http_request::header(std::string_view Name) const {
  const auto Found = Headers.find(Name);
  return Found == Headers.end() ? "" : Found->second;
}

std::string http_request::query(std::string_view Name) const {
  const auto Found = Query.find(Name);
  return Found == Query.end() ? "" : Found->second;
}

http_server::http_server(const http_server_init &Init)
    : Impl(std::make_unique<impl>()) {
  Impl->Init = Init;
  if (!Impl->Init.Guard) {
    Impl->Init.Guard = makeServerGuard(OwnLimits);
  }
}

std::shared_ptr<connection_guard> makeServerGuard(const upload_limits &Limits) {
  return std::make_shared<connection_guard>(
      Limits, refusalBody("queue_full", "the request was cut off"));
}

result<void> http_server::start(handler Handler) {
  const http_server_init &Init = Impl->Init;
  const auto Fail = [&](std::string Message) {
    return boost::leaf::new_error(
        error{"listen", Init.Listen, reason::Malformed, std::move(Message)});
  };
  auto Address = parseAddress(Init.Listen);
  if (!Address) {
    return Fail("not an IP address and port");
  }
  Impl->Handler = std::move(Handler);
  const unsigned Flags =
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
  Impl->Daemon = MHD_start_daemon(
      Flags, 0, nullptr, nullptr, &impl::onAccess, Impl.get(),
      MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr *>(&*Address),
      MHD_OPTION_NOTIFY_CONNECTION, &connection_guard::onConnection,
      Init.Guard.get(), MHD_OPTION_CONNECTION_LIMIT,
      Init.Guard->maxConnections() * Init.Threads,
      MHD_OPTION_CONNECTION_TIMEOUT,
      static_cast<unsigned>(Init.IdleTimeout.count()),
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, ConnectionMemoryBytes,
      MHD_OPTION_THREAD_POOL_SIZE, Init.Threads, MHD_OPTION_NOTIFY_COMPLETED,
      &impl::onCompleted, Impl.get(), MHD_OPTION_END);
  if (Impl->Daemon == nullptr) {
    return Fail("can't listen on this address");
  }
  limitSocketBuffers(Impl->Daemon, ReceiveBufferBytes);
  return {};
}

http_server::~http_server() {
  if (Impl->Daemon == nullptr) {
    return;
  }
  {
    // libmicrohttpd must not close a suspended connection: respond to all
    // first.
    const std::lock_guard Lock(Impl->Mutex);
    Impl->IsStopping = true;
    for (auto &[Handle, Exchange] : Impl->OpenExchanges) {
      if (!Exchange->Response) {
        Exchange->Response = stoppingResponse();
        MHD_resume_connection(Exchange->Connection);
      }
      Exchange->StreamEnded = true;
      resumeStream(*Exchange);
    }
  }
  MHD_stop_daemon(Impl->Daemon);
}

void http_server::respond(request_handle Request, http_response Response) {
  const std::lock_guard Lock(Impl->Mutex);
  const auto Found =
      Impl->OpenExchanges.find(static_cast<std::uint64_t>(Request));
  if (Found == Impl->OpenExchanges.end() || Found->second->Response) {
    return;
  }
  Found->second->Response = std::move(Response);
  MHD_resume_connection(Found->second->Connection);
}

void http_server::beginStream(request_handle Request, http_response Head) {
  const std::lock_guard Lock(Impl->Mutex);
  const auto Found =
      Impl->OpenExchanges.find(static_cast<std::uint64_t>(Request));
  if (Found == Impl->OpenExchanges.end() || Found->second->Response) {
    return;
  }
  exchange &Exchange = *Found->second;
  Exchange.IsStream = true;
  Exchange.Pending = std::move(Head.Body);
  Exchange.Response = std::move(Head);
  MHD_resume_connection(Exchange.Connection);
}

bool http_server::writeStream(request_handle Request, std::string_view Part) {
  const std::lock_guard Lock(Impl->Mutex);
  const auto Found =
      Impl->OpenExchanges.find(static_cast<std::uint64_t>(Request));
  if (Found == Impl->OpenExchanges.end()) {
    return false;
  }
  Found->second->Pending += Part;
  resumeStream(*Found->second);
  return true;
}

void http_server::endStream(request_handle Request) {
  const std::lock_guard Lock(Impl->Mutex);
  const auto Found =
      Impl->OpenExchanges.find(static_cast<std::uint64_t>(Request));
  if (Found != Impl->OpenExchanges.end()) {
    Found->second->StreamEnded = true;
    resumeStream(*Found->second);
  }
}

void http_server::stopAccepting() {
  const MHD_socket Socket = MHD_quiesce_daemon(Impl->Daemon);
  if (Socket != MHD_INVALID_SOCKET) {
    close(Socket);
  }
}

std::size_t http_server::openRequests() const { return Impl->Open; }

} // namespace tarragonbridge
