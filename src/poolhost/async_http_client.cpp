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
constexpr unsigned SilentTimeoutMs = 2'000; ///< of unacknowledged data
constexpr long MaxAnswerBytes = 8L << 20U;

/// A request from its start to its completion.
struct call_state {
  CURL *Easy = nullptr;
  curl_slist *Headers = nullptr;
  std::string Url;
  std::string RequestBody;
  std::string AnswerBody;
  async_http_client::completion Done;
  boot_time SendBefore; ///< not sent later
};

std::size_t takeBody(char *Data, std::size_t Size, std::size_t Count,
                     void *Cls) {
  auto &Body = static_cast<call_state *>(Cls)->AnswerBody;
  Body.append(Data, Size * Count);
  return Size * Count;
}

/// Called when the connection is established, before anything is sent.
int refuseLateSend(void *Cls, char * /*RemoteIp*/, char * /*LocalIp*/,
                   int /*RemotePort*/, int /*LocalPort*/) {
  return bootNow() < static_cast<call_state *>(Cls)->SendBefore
             ? CURL_PREREQFUNC_OK
             : CURL_PREREQFUNC_ABORT;
}

int setSocketOptions(void * /*Cls*/, curl_socket_t Socket,
                     curlsocktype /*Purpose*/) {
  const unsigned Timeout = SilentTimeoutMs;
  setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &Timeout, sizeof(Timeout));
  return CURL_SOCKOPT_OK;
}
} // namespace

struct async_http_client::impl {
  epoll_loop &Loop;
  CURLM *Multi = nullptr;
  boot_time DueAt = boot_time::max();
  std::vector<CURL *> Idle;
  std::set<call_state *> Underway;
  std::uint64_t NewConnections = 0;

  void onSocket(curl_socket_t Socket, int What, void *Known);
  void prepare(call_state &State, const outgoing_request &Call);
  void complete(CURL *Easy, CURLcode Code);
};

void async_http_client::impl::onSocket(curl_socket_t Socket, int What,
                                       void *Known) {
  if (What == CURL_POLL_REMOVE) {
    Loop.unwatch(Socket);
    curl_multi_assign(Multi, Socket, nullptr);
    return;
  }
  const std::uint32_t Events =
      ((What & CURL_POLL_IN) != 0 ? std::uint32_t{EPOLLIN} : 0U) |
      ((What & CURL_POLL_OUT) != 0 ? std::uint32_t{EPOLLOUT} : 0U);
  if (Known != nullptr) {
    Loop.change(Socket, Events);
    return;
  }
  curl_multi_assign(Multi, Socket, this);
  Loop.watch(Socket, Events, [this, Socket](std::uint32_t Happened) {
    int Flags = 0;
    Flags |= (Happened & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
    Flags |= (Happened & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
    Flags |= (Happened & (EPOLLERR | EPOLLHUP)) != 0
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
  const auto OnSocket = [](CURL * /*Easy*/, curl_socket_t Socket, int What,
                           void *Cls, void *Known) {
    static_cast<impl *>(Cls)->onSocket(Socket, What, Known);
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
  for (call_state *State : Impl->Underway) {
    curl_multi_remove_handle(Impl->Multi, State->Easy);
    curl_easy_cleanup(State->Easy);
    curl_slist_free_all(State->Headers);
    delete State;
  }
  for (CURL *Easy : Impl->Idle) {
    curl_easy_cleanup(Easy);
  }
  curl_multi_cleanup(Impl->Multi);
  curl_global_cleanup();
}

void async_http_client::impl::prepare(call_state &State,
                                      const outgoing_request &Call) {
  CURL *Easy = State.Easy;
  curl_easy_setopt(Easy, CURLOPT_URL, State.Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_PRIVATE, &State);
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Call.Timeout.count()));
  curl_easy_setopt(Easy, CURLOPT_MAXFILESIZE, MaxAnswerBytes);
  curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, Call.NewConnection ? 1L : 0L);
  curl_easy_setopt(Easy, CURLOPT_SOCKOPTFUNCTION,
                   static_cast<curl_sockopt_callback>(setSocketOptions));
  curl_easy_setopt(Easy, CURLOPT_PREREQFUNCTION,
                   static_cast<curl_prereq_callback>(refuseLateSend));
  curl_easy_setopt(Easy, CURLOPT_PREREQDATA, &State);
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION,
                   static_cast<curl_write_callback>(takeBody));
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &State);
  if (Call.Method == "POST") {
    curl_easy_setopt(Easy, CURLOPT_POST, 1L);
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, State.RequestBody.c_str());
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(State.RequestBody.size()));
  } else if (Call.Method != "GET") {
    curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Call.Method.c_str());
  }
  for (const std::string &Line : Call.Headers) {
    State.Headers = curl_slist_append(State.Headers, Line.c_str());
  }
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, State.Headers);
}

void async_http_client::send(outgoing_request Call, completion Done) {
  auto *State = new call_state; // freed by complete
  State->Url = "http://" + Call.Address + Call.Path;
  State->RequestBody = std::move(Call.Body);
  State->Done = std::move(Done);
  State->SendBefore = bootNow() + Call.Timeout;
  if (Impl->Idle.empty()) {
    State->Easy = curl_easy_init();
  } else {
    State->Easy = Impl->Idle.back();
    Impl->Idle.pop_back();
  }
  Impl->prepare(*State, Call);
  Impl->Underway.insert(State);
  curl_multi_add_handle(Impl->Multi, State->Easy);
}

void async_http_client::impl::complete(CURL *Easy, CURLcode Code) {
  call_state *State = nullptr;
  long Status = 0;
  long Connections = 0;
  long RequestBytes = 0;
  curl_easy_getinfo(Easy, CURLINFO_PRIVATE, &State);
  curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Status);
  curl_easy_getinfo(Easy, CURLINFO_NUM_CONNECTS, &Connections);
  curl_easy_getinfo(Easy, CURLINFO_REQUEST_SIZE, &RequestBytes);
  NewConnections += static_cast<std::uint64_t>(Connections);
  received_response Result;
  if (Code == CURLE_OK) {
    Result.Status = static_cast<int>(Status);
    Result.Body = std::move(State->AnswerBody);
  } else {
    // The size counts the bytes sent on all connections: libcurl retries a
    // request by itself when a reused connection is closed, and the retry may
    // fail to connect although the first try was sent.
    Result.WasSent = RequestBytes > 0;
  }
  curl_multi_remove_handle(Multi, Easy);
  curl_easy_reset(Easy);
  curl_slist_free_all(State->Headers);
  Idle.push_back(Easy);
  Underway.erase(State);
  const completion Done = std::move(State->Done);
  delete State;
  Done(std::move(Result));
}

void async_http_client::completeCalls() {
  int Waiting = 0;
  while (CURLMsg *Message = curl_multi_info_read(Impl->Multi, &Waiting)) {
    if (Message->msg == CURLMSG_DONE) {
      Impl->complete(Message->easy_handle, Message->data.result);
    }
  }
}

boot_time async_http_client::nextDue() const { return Impl->DueAt; }

void async_http_client::onTimer() {
  if (bootNow() < Impl->DueAt) {
    return;
  }
  Impl->DueAt = boot_time::max();
  int Running = 0;
  curl_multi_socket_action(Impl->Multi, CURL_SOCKET_TIMEOUT, 0, &Running);
}

std::uint64_t async_http_client::newConnections() const {
  return Impl->NewConnections;
}

std::size_t async_http_client::inFlight() const {
  return Impl->Underway.size();
}

} // namespace tarragonbridge::poolhost
