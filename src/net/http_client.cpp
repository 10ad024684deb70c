#include "net/http_client.h"

#include "base/clock.h"
#include "base/thread.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <condition_variable>
#include <curl/curl.h>
#include <mutex>
#include <optional>
#include <set>
#include <string_view>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <unordered_map>

namespace tarragonbridge {

namespace {
constexpr std::chrono::milliseconds PollInterval{1'000};
constexpr std::size_t MaxSocketEvents = 256;
constexpr std::size_t MaxAnswerBytes = 64U << 20U;

/// A request in flight, and its result so far.
struct transfer {
  http_call Call;
  http_client::completion Done;
  http_result Result;
  std::size_t SentBytes = 0;
  curl_slist *Headers = nullptr;

  transfer(http_call Call, http_client::completion Done)
      : Call(std::move(Call)), Done(std::move(Done)) {}
  ~transfer() { curl_slist_free_all(Headers); }
  transfer(const transfer &) = delete;
  transfer &operator=(const transfer &) = delete;
};

std::size_t readBody(char *Buffer, std::size_t Size, std::size_t Count,
                     void *Cls) {
  auto &Transfer = *static_cast<transfer *>(Cls);
  const std::string &Body = Transfer.Call.Body;
  if (Transfer.SentBytes == Body.size()) {
    return CURL_READFUNC_ABORT; // asked for a second time, see refuseRewind
  }
  const std::size_t Part =
      std::min(Size * Count, Body.size() - Transfer.SentBytes);
  std::copy_n(Body.begin() + static_cast<std::ptrdiff_t>(Transfer.SentBytes),
              Part, Buffer);
  Transfer.SentBytes += Part;
  return Part;
}

/// Refuses to send a body again: libcurl would otherwise repeat a request when
/// a kept connection is closed before its answer, and the task would start
/// twice.
int refuseRewind(void * /*Cls*/, curl_off_t /*Offset*/, int /*Origin*/) {
  return CURL_SEEKFUNC_FAIL;
}

std::size_t writeBody(char *Data, std::size_t Size, std::size_t Count,
                      void *Cls) {
  auto &Transfer = *static_cast<transfer *>(Cls);
  if (Transfer.Call.OnPart) {
    Transfer.Call.OnPart({Data, Size * Count});
    return Size * Count;
  }
  if (Transfer.Result.Body.size() + Size * Count > MaxAnswerBytes) {
    return 0;
  }
  Transfer.Result.Body.append(Data, Size * Count);
  return Size * Count;
}

std::size_t readHeader(char *Data, std::size_t Size, std::size_t Count,
                       void *Cls) {
  constexpr std::string_view Name = "etag:";
  auto &Transfer = *static_cast<transfer *>(Cls);
  std::string_view Line(Data, Size * Count);
  const bool IsETag = Line.size() > Name.size() &&
                      strncasecmp(Line.data(), Name.data(), Name.size()) == 0;
  if (IsETag) {
    Line.remove_prefix(Name.size());
    const std::size_t First = Line.find_first_not_of(" \t");
    const std::size_t Last = Line.find_last_not_of(" \t\r\n");
    if (First != std::string_view::npos && Last != std::string_view::npos &&
        First <= Last) {
      Transfer.Result.ETag = Line.substr(First, Last - First + 1);
    }
  }
  return Size * Count;
}

void addHeaders(CURL *Easy, transfer &Transfer) {
  Transfer.Headers =
      curl_slist_append(Transfer.Headers, "Content-Type: application/json");
  // Without this libcurl waits for a permission to send larger bodies.
  Transfer.Headers = curl_slist_append(Transfer.Headers, "Expect:");
  for (const std::string &Line : Transfer.Call.Headers) {
    Transfer.Headers = curl_slist_append(Transfer.Headers, Line.c_str());
  }
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, Transfer.Headers);
}

void addBody(CURL *Easy, transfer &Transfer) {
  if (Transfer.Call.Method != "POST" && Transfer.Call.Method != "PUT") {
    curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Transfer.Call.Method.c_str());
    return;
  }
  const auto Size = static_cast<curl_off_t>(Transfer.Call.Body.size());
  if (Transfer.Call.Method == "PUT") {
    curl_easy_setopt(Easy, CURLOPT_UPLOAD, 1L);
    curl_easy_setopt(Easy, CURLOPT_INFILESIZE_LARGE, Size);
  } else {
    curl_easy_setopt(Easy, CURLOPT_POST, 1L);
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE, Size);
  }
  curl_easy_setopt(Easy, CURLOPT_READFUNCTION, readBody);
  curl_easy_setopt(Easy, CURLOPT_READDATA, &Transfer);
  curl_easy_setopt(Easy, CURLOPT_SEEKFUNCTION, refuseRewind);
}

void prepare(CURL *Easy, transfer &Transfer) {
  curl_easy_reset(Easy);
  curl_easy_setopt(Easy, CURLOPT_URL, Transfer.Call.Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_PRIVATE, &Transfer);
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION,
                   static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(Easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(Transfer.Call.ConnectTimeout.count()));
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Transfer.Call.Timeout.count()));
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, writeBody);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &Transfer);
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, readHeader);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &Transfer);
  addHeaders(Easy, Transfer);
  addBody(Easy, Transfer);
}

/// @returns whether any byte of the request's body, or the request line of a
/// request without body, may have reached the server
bool mayHaveBeenSent(const transfer &Transfer, CURLcode Code) {
  if (!Transfer.Call.Body.empty()) {
    return Transfer.SentBytes != 0;
  }
  return Code != CURLE_COULDNT_CONNECT && Code != CURLE_URL_MALFORMAT;
}
} // namespace

struct http_client::impl {
  CURLM *Multi = curl_multi_init();
  int Epoll = epoll_create1(EPOLL_CLOEXEC);
  int Wakeup = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  std::mutex Mutex;
  std::vector<std::unique_ptr<transfer>> Incoming; ///< guarded by Mutex
  std::atomic<bool> Stopping{false};
  std::optional<boot_time> TimerDue; ///< of libcurl; none: no timer is set
  std::vector<CURL *> Idle;
  std::unordered_map<CURL *, std::unique_ptr<transfer>> Active;
  std::set<CURL *> Checked; ///< transfers in Active with a KeepGoing callback
  boot_time CheckedAt;
  posix_thread Thread;

  void run();
  void wake() const;
  void takeIncoming();
  void waitForSockets();
  void finishTransfers();
  void finish(CURL *Easy, CURLcode Code);
  /// Ends the calls whose KeepGoing says so.
  void checkCalls();

  static int onSocket(CURL *Easy, curl_socket_t Socket, int What, void *Cls,
                      void *IsWatched);
  static int onTimer(CURLM *Multi, long Delay, void *Cls);
};

/// Watches a socket for what libcurl waits for.
int http_client::impl::onSocket(CURL * /*Easy*/, curl_socket_t Socket, int What,
                                void *Cls, void *IsWatched) {
  auto &Self = *static_cast<impl *>(Cls);
  if (What == CURL_POLL_REMOVE) {
    epoll_ctl(Self.Epoll, EPOLL_CTL_DEL, Socket, nullptr);
    return 0;
  }
  epoll_event Event{};
  Event.data.fd = Socket;
  Event.events = ((What & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) |
                 ((What & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
  const int Operation = IsWatched == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
  epoll_ctl(Self.Epoll, Operation, Socket, &Event);
  curl_multi_assign(Self.Multi, Socket, Cls);
  return 0;
}

int http_client::impl::onTimer(CURLM * /*Multi*/, long Delay, void *Cls) {
  auto &Self = *static_cast<impl *>(Cls);
  Self.TimerDue.reset();
  if (Delay >= 0) {
    Self.TimerDue = bootNow() + std::chrono::milliseconds(Delay);
  }
  return 0;
}

void http_client::impl::wake() const {
  const std::uint64_t One = 1;
  // A full counter wakes the thread as well, so a failed write is no loss.
  [[maybe_unused]] const ssize_t Written = write(Wakeup, &One, sizeof One);
}

/// Waits for sockets, a new call or libcurl's timer, and lets libcurl act on
/// them.
void http_client::impl::waitForSockets() {
  std::chrono::milliseconds Wait = PollInterval;
  if (TimerDue) {
    const auto Left =
        std::chrono::ceil<std::chrono::milliseconds>(*TimerDue - bootNow());
    Wait = std::clamp(Left, std::chrono::milliseconds::zero(), PollInterval);
  }
  std::array<epoll_event, MaxSocketEvents> Events{};
  const int Count =
      epoll_wait(Epoll, Events.data(), static_cast<int>(Events.size()),
                 static_cast<int>(Wait.count()));
  int Running = 0;
  for (int Index = 0; Index < Count; ++Index) {
    const epoll_event &Event = Events.at(static_cast<std::size_t>(Index));
    if (Event.data.fd == Wakeup) {
      std::uint64_t Ignored = 0;
      [[maybe_unused]] const ssize_t Read =
          read(Wakeup, &Ignored, sizeof Ignored);
      continue;
    }
    const int Flags =
        ((Event.events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0) |
        ((Event.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0) |
        ((Event.events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0);
    curl_multi_socket_action(Multi, Event.data.fd, Flags, &Running);
  }
  if (TimerDue && *TimerDue <= bootNow()) {
    TimerDue.reset();
    curl_multi_socket_action(Multi, CURL_SOCKET_TIMEOUT, 0, &Running);
  }
}

void http_client::impl::takeIncoming() {
  std::vector<std::unique_ptr<transfer>> Batch;
  {
    const std::lock_guard Lock(Mutex);
    Batch.swap(Incoming);
  }
  for (auto &Transfer : Batch) {
    CURL *Easy = nullptr;
    if (Idle.empty()) {
      Easy = curl_easy_init();
    } else {
      Easy = Idle.back();
      Idle.pop_back();
    }
    prepare(Easy, *Transfer);
    if (Transfer->Call.KeepGoing) {
      Checked.insert(Easy);
    }
    Active.emplace(Easy, std::move(Transfer));
    curl_multi_add_handle(Multi, Easy);
  }
}

void http_client::impl::finish(CURL *Easy, CURLcode Code) {
  const auto Found = Active.find(Easy);
  const std::unique_ptr<transfer> Transfer = std::move(Found->second);
  Active.erase(Found);
  Checked.erase(Easy);
  http_result &Result = Transfer->Result;
  if (Code == CURLE_OK) {
    long Status = 0;
    curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Status);
    Result.Status = static_cast<int>(Status);
  } else {
    Result.Error = curl_easy_strerror(Code);
    Result.WasSent = mayHaveBeenSent(*Transfer, Code);
    long SystemError = 0;
    curl_easy_getinfo(Easy, CURLINFO_OS_ERRNO, &SystemError);
    Result.IsRefused =
        Code == CURLE_COULDNT_CONNECT && SystemError == ECONNREFUSED;
  }
  curl_multi_remove_handle(Multi, Easy);
  if (Code == CURLE_OK) {
    Idle.push_back(Easy);
  } else {
    // curl_easy_reset() keeps a pending rewind of the body, which would fail
    // the next request of this handle.
    curl_easy_cleanup(Easy);
  }
  Transfer->Done(std::move(Result));
}

void http_client::impl::finishTransfers() {
  int Left = 0;
  while (const CURLMsg *Message = curl_multi_info_read(Multi, &Left)) {
    if (Message->msg == CURLMSG_DONE) {
      finish(Message->easy_handle, Message->data.result);
    }
  }
}

void http_client::impl::checkCalls() {
  if (Checked.empty() || bootNow() - CheckedAt < PollInterval) {
    return;
  }
  CheckedAt = bootNow();
  const std::vector<CURL *> Calls(Checked.begin(), Checked.end());
  for (CURL *Easy : Calls) {
    if (!Active.at(Easy)->Call.KeepGoing()) {
      finish(Easy, CURLE_ABORTED_BY_CALLBACK);
    }
  }
}

void http_client::impl::run() {
  while (!Stopping) {
    takeIncoming();
    waitForSockets();
    finishTransfers();
    checkCalls();
  }
  while (!Active.empty()) {
    finish(Active.begin()->first, CURLE_ABORTED_BY_CALLBACK);
  }
}

http_client::http_client(long MaxConnectionsPerHost)
    : Impl(std::make_unique<impl>()) {
  static std::once_flag InitOnce;
  std::call_once(InitOnce, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
  constexpr long MaxKeptConnections = 4'000;
  CURLM *Multi = Impl->Multi;
  curl_multi_setopt(Multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                    MaxConnectionsPerHost);
  curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, MaxKeptConnections);
  curl_multi_setopt(Multi, CURLMOPT_SOCKETFUNCTION, &impl::onSocket);
  curl_multi_setopt(Multi, CURLMOPT_SOCKETDATA, Impl.get());
  curl_multi_setopt(Multi, CURLMOPT_TIMERFUNCTION, &impl::onTimer);
  curl_multi_setopt(Multi, CURLMOPT_TIMERDATA, Impl.get());
  epoll_event Event{};
  Event.events = EPOLLIN;
  Event.data.fd = Impl->Wakeup;
  epoll_ctl(Impl->Epoll, EPOLL_CTL_ADD, Impl->Wakeup, &Event);
  Impl->Thread = posix_thread("http-client", [this] { Impl->run(); });
}

http_client::~http_client() {
  Impl->Stopping = true;
  Impl->wake();
  Impl->Thread.join();
  for (CURL *Easy : Impl->Idle) {
    curl_easy_cleanup(Easy);
  }
  curl_multi_cleanup(Impl->Multi);
  close(Impl->Epoll);
  close(Impl->Wakeup);
}

void http_client::send(http_call Call, completion Done) {
  {
    const std::lock_guard Lock(Impl->Mutex);
    Impl->Incoming.push_back(
        std::make_unique<transfer>(std::move(Call), std::move(Done)));
  }
  Impl->wake();
}

http_result sendAndWait(http_client &Client, http_call Call) {
  std::mutex Mutex;
  std::condition_variable Ready;
  bool IsDone = false;
  http_result Result;
  Client.send(std::move(Call), [&](http_result &&Answer) {
    const std::lock_guard Lock(Mutex);
    Result = std::move(Answer);
    IsDone = true;
    Ready.notify_one();
  });
  std::unique_lock Lock(Mutex);
  Ready.wait(Lock, [&] { return IsDone; });
  return Result;
}

} // namespace tarragonbridge
