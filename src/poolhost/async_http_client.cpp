#include "poolhost/async_http_client.h"

#include "base/clock.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <set>
#include <sys/epoll.h>
#include <sys/socket.h>

namespace tarragonbridge::poolhost {

namespace {
constexpr long MaxIdleConnections = 1'000;
constexpr std::size_t MaxIdleHandles = 256;  ///< kept for later requests
constexpr unsigned TcpUserTimeoutMs = 2'000; ///< of unacknowledged data
constexpr long MaxResponseBytes = 8L << 20U;

/// A request from its start to its completion.
struct request_state {
  CURL *Easy = nullptr;
  curl_slist *Headers = nullptr;
  std::string Url;
  std::string RequestBody;
  std::string ResponseBody;
  async_http_client::completion Done;
  boot_time SendDeadline; ///< not sent later
  int Sendings = 0;       ///< libcurl repeats a request by itself
};

std::size_t appendBody(char *Data, std::size_t Size, std::size_t Count,
                       void *Cls) {
  auto &Body = static_cast<request_state *>(Cls)->ResponseBody;
  // Not all responses state their size in advance.
  if (Body.size() + Size * Count > std::size_t{MaxResponseBytes}) {
    return 0; // aborts the request
  }
  Body.append(Data, Size * Count);
  return Size * Count;
}

/// Called when the connection is established, before anything is sent on it.
int onBeforeSending(void *Cls, char * /*RemoteIp*/, char * /*LocalIp*/,
                    int /*RemotePort*/, int /*LocalPort*/) {
  auto *State = static_cast<request_state *>(Cls);
  if (bootNow() >= State->SendDeadline) {
    return CURL_PREREQFUNC_ABORT;
  }
  ++State->Sendings;
  return CURL_PREREQFUNC_OK;
}

int setSocketOptions(void * /*Cls*/, curl_socket_t Socket,
                     curlsocktype /*Purpose*/) {
  const unsigned Timeout = TcpUserTimeoutMs;
  setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &Timeout, sizeof(Timeout));
  return CURL_SOCKOPT_OK;
}
} // namespace

struct async_http_client::impl {
  epoll_loop &Loop;
  CURLM *Multi = nullptr;
  boot_time DueAt = boot_time::max();
  std::vector<CURL *> IdleHandles;
  std::set<request_state *> InFlight;
  std::uint64_t NewConnections = 0;

  void onSocket(curl_socket_t Socket, int PollAction, void *SocketData);
  void prepare(request_state &State, const outgoing_request &Request);
  void complete(CURL *Easy, CURLcode Code);
};

void async_http_client::impl::onSocket(curl_socket_t Socket, int PollAction,
                                       void *SocketData) {
  if (PollAction == CURL_POLL_REMOVE) {
    Loop.unwatch(Socket);
    curl_multi_assign(Multi, Socket, nullptr);
    return;
  }
  const std::uint32_t Events =
      ((PollAction & CURL_POLL_IN) != 0 ? std::uint32_t{EPOLLIN} : 0U) |
      ((PollAction & CURL_POLL_OUT) != 0 ? std::uint32_t{EPOLLOUT} : 0U);
  if (SocketData != nullptr) {
    Loop.modify(Socket, Events);
    return;
  }
  curl_multi_assign(Multi, Socket, this);
  Loop.watch(Socket, Events, [this, Socket](std::uint32_t ReadyEvents) {
    int Flags = 0;
    Flags |= (ReadyEvents & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
    Flags |= (ReadyEvents & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
    Flags |= (ReadyEvents & (EPOLLERR | EPOLLHUP)) != 0
                 ? CURL_CSELECT_ERR | CURL_CSELECT_IN
                 : 0;
    int Running = 0;
    curl_multi_socket_action(Multi, Socket, Flags, &Running);
  });
}

async_http_client::async_http_client(epoll_loop &Loop,
                                     long MaxConnectionsPerHost)
    : Impl(new impl{Loop, nullptr, boot_time::max(), {}, {}, 0}) {
  curl_global_init(CURL_GLOBAL_NOTHING);
  Impl->Multi = curl_multi_init();
  const auto OnSocket = [](CURL * /*Easy*/, curl_socket_t Socket,
                           int PollAction, void *Cls, void *SocketData) {
    static_cast<impl *>(Cls)->onSocket(Socket, PollAction, SocketData);
    return 0;
  };
  const auto OnTimer = [](CURLM * /*Multi*/, long TimeoutMs, void *Cls) {
    static_cast<impl *>(Cls)->DueAt =
        TimeoutMs < 0 ? boot_time::max() : bootNow() + milliseconds(TimeoutMs);
    return 0;
  };
  curl_multi_setopt(Impl->Multi, CURLMOPT_SOCKETFUNCTION,
                    static_cast<curl_socket_callback>(OnSocket));
  curl_multi_setopt(Impl->Multi, CURLMOPT_SOCKETDATA, Impl.get());
  curl_multi_setopt(Impl->Multi, CURLMOPT_TIMERFUNCTION,
                    static_cast<curl_multi_timer_callback>(OnTimer));
  curl_multi_setopt(Impl->Multi, CURLMOPT_TIMERDATA, Impl.get());
  curl_multi_setopt(Impl->Multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                    MaxConnectionsPerHost);
  curl_multi_setopt(Impl->Multi, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
}

async_http_client::~async_http_client() {
  for (request_state *State : Impl->InFlight) {
    curl_multi_remove_handle(Impl->Multi, State->Easy);
    curl_easy_cleanup(State->Easy);
    curl_slist_free_all(State->Headers);
    delete State;
  }
  for (CURL *Easy : Impl->IdleHandles) {
    curl_easy_cleanup(Easy);
  }
  curl_multi_cleanup(Impl->Multi);
  curl_global_cleanup();
}

void async_http_client::impl::prepare(request_state &State,
                                      const outgoing_request &Request) {
  CURL *Easy = State.Easy;
  curl_easy_setopt(Easy, CURLOPT_URL, State.Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_PRIVATE, &State);
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Request.Timeout.count()));
  curl_easy_setopt(Easy, CURLOPT_MAXFILESIZE, MaxResponseBytes);
  curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT,
                   Request.NewConnection ? 1L : 0L);
  curl_easy_setopt(Easy, CURLOPT_SOCKOPTFUNCTION,
                   static_cast<curl_sockopt_callback>(setSocketOptions));
  curl_easy_setopt(Easy, CURLOPT_PREREQFUNCTION,
                   static_cast<curl_prereq_callback>(onBeforeSending));
  curl_easy_setopt(Easy, CURLOPT_PREREQDATA, &State);
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION,
                   static_cast<curl_write_callback>(appendBody));
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &State);
  if (Request.Method == "POST") {
    curl_easy_setopt(Easy, CURLOPT_POST, 1L);
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, State.RequestBody.c_str());
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(State.RequestBody.size()));
  } else if (Request.Method != "GET") {
    curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Request.Method.c_str());
  }
  for (const std::string &Line : Request.Headers) {
    State.Headers = curl_slist_append(State.Headers, Line.c_str());
  }
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, State.Headers);
}

void async_http_client::send(outgoing_request Request, completion Done) {
  auto *State = new request_state; // freed by complete
  State->Url = "http://" + Request.Address + Request.Path;
  State->RequestBody = std::move(Request.Body);
  State->Done = std::move(Done);
  State->SendDeadline = bootNow() + Request.Timeout;
  if (Impl->IdleHandles.empty()) {
    State->Easy = curl_easy_init();
  } else {
    State->Easy = Impl->IdleHandles.back();
    Impl->IdleHandles.pop_back();
  }
  Impl->prepare(*State, Request);
  Impl->InFlight.insert(State);
  curl_multi_add_handle(Impl->Multi, State->Easy);
}

void async_http_client::impl::complete(CURL *Easy, CURLcode Code) {
  request_state *State = nullptr;
  long Status = 0;
  long Connections = 0;
  long RequestBytes = 0;
  curl_easy_getinfo(Easy, CURLINFO_PRIVATE, &State);
  curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Status);
  curl_easy_getinfo(Easy, CURLINFO_NUM_CONNECTS, &Connections);
  curl_easy_getinfo(Easy, CURLINFO_REQUEST_SIZE, &RequestBytes);
  NewConnections += static_cast<std::uint64_t>(Connections);
  received_response Response;
  if (Code == CURLE_OK) {
    Response.Status = static_cast<int>(Status);
    Response.Body = std::move(State->ResponseBody);
    Response.WasRepeated = State->Sendings > 1;
  } else {
    // The size counts the bytes sent on all connections: libcurl retries a
    // request by itself when a reused connection is closed, and the retry may
    // fail to connect although the first try was sent.
    Response.WasSent = RequestBytes > 0;
    Response.IsTooLarge =
        Code == CURLE_FILESIZE_EXCEEDED || Code == CURLE_WRITE_ERROR;
  }
  curl_multi_remove_handle(Multi, Easy);
  curl_easy_reset(Easy);
  curl_slist_free_all(State->Headers);
  if (IdleHandles.size() < MaxIdleHandles) {
    IdleHandles.push_back(Easy);
  } else {
    curl_easy_cleanup(Easy);
  }
  InFlight.erase(State);
  const completion Done = std::move(State->Done);
  delete State;
  Done(std::move(Response));
}

void async_http_client::completeRequests() {
  int MessagesLeft = 0;
  while (CURLMsg *Message = curl_multi_info_read(Impl->Multi, &MessagesLeft)) {
    if (Message->msg == CURLMSG_DONE) {
      Impl->complete(Message->easy_handle, Message->data.result);
    }
  }
}

boot_time async_http_client::nextDueAt() const { return Impl->DueAt; }

void async_http_client::onTimer() {
  if (bootNow() < Impl->DueAt) {
    return;
  }
  Impl->DueAt = boot_time::max();
  int Running = 0;
  curl_multi_socket_action(Impl->Multi, CURL_SOCKET_TIMEOUT, 0, &Running);
}

std::uint64_t async_http_client::openedConnections() const {
  return Impl->NewConnections;
}

std::size_t async_http_client::inFlight() const {
  return Impl->InFlight.size();
}

} // namespace tarragonbridge::poolhost
