/// HTTP client and HTTP server of the pool host.
#include "base/clock.h"
#include "closing_server.h"
#include "poolhost/async_http_client.h"
#include "poolhost/async_http_server.h"

#include <catch2/catch.hpp>
#include <optional>
#include <thread>

using namespace tarragonbridge;
using namespace tarragonbridge::poolhost;
using namespace std::chrono_literals;

namespace {
received_response sendAndWait(epoll_loop &Loop, async_http_client &Calls,
                              const std::string &Address) {
  std::optional<received_response> Result;
  outgoing_request Call;
  Call.Address = Address;
  Call.Path = "/";
  Call.Body = "BODY";
  Calls.send(std::move(Call),
             [&](received_response &&Got) { Result = std::move(Got); });
  const boot_time TimeoutAt = bootNow() + 5s;
  while (!Result && bootNow() < TimeoutAt) {
    Loop.runOnce(std::min(Calls.nextDue(), TimeoutAt));
    Calls.onTimer();
    Calls.completeCalls();
  }
  return Result.value_or(received_response{});
}
} // namespace

// libcurl retries a request on a new connection, which may be refused. The
// request must still count as sent: a target may have executed the start
// command.
TEST_CASE("a request sent once counts as sent, even if its retry can't connect",
          "[pool]") {
  epoll_loop Loop;
  closing_server Server;
  async_http_client Calls(Loop, 4);
  CHECK(sendAndWait(Loop, Calls, Server.address()).Status == 200);
  Server.stopAfterwards();
  const received_response Second = sendAndWait(Loop, Calls, Server.address());
  CHECK(Server.bodiesRead() == 2);
  CHECK(Second.Status == 0);
  CHECK(Second.WasSent);
}

TEST_CASE("a request to a port without a listener counts as not sent",
          "[pool]") {
  epoll_loop Loop;
  async_http_client Calls(Loop, 4);
  const received_response Result = sendAndWait(Loop, Calls, "127.0.0.1:1");
  CHECK(Result.Status == 0);
  CHECK_FALSE(Result.WasSent);
}

// Without the check a host that was paused would send commands from before the
// pause, for jobs that their coordinator has abandoned and the caller has
// submitted again elsewhere.
TEST_CASE("a request whose timeout has expired isn't sent", "[pool]") {
  epoll_loop Loop;
  closing_server Server;
  async_http_client Calls(Loop, 4);
  const bool HasKeptConnection = GENERATE(false, true);
  if (HasKeptConnection) {
    REQUIRE(sendAndWait(Loop, Calls, Server.address()).Status == 200);
  }
  const int Before = Server.bodiesRead();
  std::optional<received_response> Result;
  outgoing_request Call;
  Call.Method = "POST";
  Call.Address = Server.address();
  Call.Path = "/";
  Call.Body = "BODY";
  Call.Timeout = 50ms;
  Calls.send(std::move(Call),
             [&](received_response &&Got) { Result = std::move(Got); });
  std::this_thread::sleep_for(120ms);
  const boot_time WatchUntil = bootNow() + 300ms;
  while (bootNow() < WatchUntil) {
    Loop.runOnce(std::min(Calls.nextDue(), WatchUntil));
    Calls.onTimer();
    Calls.completeCalls();
  }
  REQUIRE(Result);
  CHECK(Result->Status == 0);
  CHECK_FALSE(Result->WasSent);
  CHECK(Server.bodiesRead() == Before);
}

namespace {
/// Sends bytes to a server on the loop and closes the connection.
///
/// @returns the status line of the response, empty if there is none
std::string exchangeRaw(epoll_loop &Loop, async_http_server &Entry,
                        const std::string &Address, const std::string &Bytes,
                        bool ClosesEarly) {
  const sockaddr_in Parsed = *parseAddress(Address);
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  (void)connect(Socket, reinterpret_cast<const sockaddr *>(&Parsed),
                sizeof Parsed);
  std::size_t Sent = 0;
  std::string Answer;
  std::array<char, 256> Buffer{};
  const boot_time TimeoutAt = bootNow() + 2s;
  while (Answer.empty() && bootNow() < TimeoutAt) {
    const ssize_t Count =
        send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    Sent += Count > 0 ? static_cast<std::size_t>(Count) : 0;
    Loop.runOnce(bootNow() + 2ms);
    Entry.flush(bootNow());
    if (ClosesEarly && Sent == Bytes.size()) {
      break;
    }
    const ssize_t Got = recv(Socket, Buffer.data(), Buffer.size(), 0);
    if (Got == 0) {
      break;
    }
    Answer.assign(Buffer.data(), Got > 0 ? static_cast<std::size_t>(Got) : 0);
  }
  close(Socket);
  for (int Round = 0; Round < 5; ++Round) {
    Loop.runOnce(bootNow() + 2ms);
    Entry.flush(bootNow());
  }
  return Answer.substr(0, Answer.find('\r'));
}
} // namespace

TEST_CASE("malformed input gets an error response or closes the connection",
          "[pool]") {
  struct input_case {
    std::string Bytes;
    bool ClosesEarly;
    std::string Answer; ///< empty: the connection is closed without one
  };
  const std::string Head = "POST /r/1 HTTP/1.1\r\nHost: h\r\n";
  const auto Case = GENERATE_COPY(values<input_case>({
      {"\x01\x02 no request\r\n\r\n", false, ""},
      {Head + "Content-Length: 9000\r\n\r\n" + std::string(9'000, 'x'), false,
       "HTTP/1.1 413"},
      {Head + "Content-Length: 50\r\n\r\nhalf", true, ""},
      {Head + "Content-Len", true, ""},
      {"POST /" + std::string(40'000, 'a') + " HTTP/1.1\r\n\r\n", false,
       "HTTP/1.1 414"},
      {Head + "X: " + std::string(40'000, 'a') + "\r\n\r\n", false,
       "HTTP/1.1 431"},
  }));
  CAPTURE(Case.Bytes.substr(0, 60), Case.ClosesEarly);
  const std::string Address = "127.0.0.1:19417";
  epoll_loop Loop;
  server_init Init;
  Init.Listen = Address;
  Init.MaxBodyBytes = 1'000;
  async_http_server Entry(Loop, Init);
  int Handled = 0;
  tryOr(
      [&] {
        return Entry.start(
            [&](request_handle, server_request &&) { ++Handled; },
            [](request_handle) {});
      },
      [](const error &Error) { FAIL(Error.Message); });
  const std::string Answer =
      exchangeRaw(Loop, Entry, Address, Case.Bytes, Case.ClosesEarly);
  CHECK_THAT(Answer, Catch::StartsWith(Case.Answer));
  CHECK(Handled == 0);
  CHECK(Entry.openRequests() == 0);
}

TEST_CASE("a caller's disconnection is detected while its request is open",
          "[pool]") {
  const std::string Address = "127.0.0.1:19418";
  epoll_loop Loop;
  server_init Init;
  Init.Listen = Address;
  async_http_server Entry(Loop, Init);
  int Handled = 0;
  int Left = 0;
  tryOr(
      [&] {
        return Entry.start(
            [&](request_handle, server_request &&) { ++Handled; },
            [&](request_handle) { ++Left; });
      },
      [](const error &Error) { FAIL(Error.Message); });
  exchangeRaw(Loop, Entry, Address, "GET /r/1 HTTP/1.1\r\nHost: h\r\n\r\n",
              false);
  CHECK(Handled == 1);
  CHECK(Left == 1);
  CHECK(Entry.openRequests() == 0);
}
