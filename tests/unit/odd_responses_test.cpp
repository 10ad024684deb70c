/// Responses of targets and of other addresses that entries name: endless, or
/// with values out of range.
#include "odd_entries.h"

#include "base/clock.h"
#include "base/thread.h"
#include "net/address.h"
#include "platform/wire.h"
#include "poolhost/async_http_client.h"

#include <array>
#include <catch2/catch.hpp>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

using namespace tarragonbridge;
using namespace std::chrono_literals;

namespace {
/// Responds to one request with a body whose size it doesn't state.
class streaming_server {
public:
  explicit streaming_server(std::size_t Bytes) : Bytes(Bytes) {
    sockaddr_in Address = *parseAddress("127.0.0.1:0");
    Listener = socket(AF_INET, SOCK_STREAM, 0);
    (void)bind(Listener, reinterpret_cast<sockaddr *>(&Address),
               sizeof Address);
    listen(Listener, 1);
    socklen_t Size = sizeof Address;
    getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Size);
    Port = ntohs(Address.sin_port);
    Thread = posix_thread("streaming", [this] { run(); });
  }
  ~streaming_server() {
    shutdown(Listener, SHUT_RDWR);
    Thread.join();
    close(Listener);
  }
  streaming_server(const streaming_server &) = delete;
  streaming_server &operator=(const streaming_server &) = delete;
  std::string address() const { return "127.0.0.1:" + std::to_string(Port); }

private:
  void run() const {
    const int Socket = accept(Listener, nullptr, nullptr);
    std::array<char, 4096> Buffer{};
    (void)recv(Socket, Buffer.data(), Buffer.size(), 0);
    const std::string Text = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" +
                             std::string(Bytes, 'x');
    std::size_t Sent = 0;
    for (ssize_t Count = 1; Count > 0 && Sent < Text.size();) {
      Count =
          send(Socket, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
      Sent += Count > 0 ? static_cast<std::size_t>(Count) : 0;
    }
    close(Socket);
  }

  std::size_t Bytes;
  int Listener = -1;
  int Port = 0;
  posix_thread Thread;
};
} // namespace

// An entry may name the address of anything.
TEST_CASE("a response of endless size is cut off", "[pool]") {
  const std::size_t Megabytes = GENERATE(1, 20);
  const streaming_server Server(Megabytes << 20U);
  poolhost::epoll_loop Loop;
  poolhost::async_http_client Client(Loop, 4);
  std::optional<poolhost::received_response> Response;
  poolhost::outgoing_request Request;
  Request.Address = Server.address();
  Request.Path = "/";
  Request.Timeout = 5s;
  Client.send(std::move(Request), [&](poolhost::received_response &&Received) {
    Response = std::move(Received);
  });
  const boot_time TimeoutAt = bootNow() + 10s;
  while (!Response && bootNow() < TimeoutAt) {
    Loop.runOnce(std::min(Client.nextDueAt(), TimeoutAt));
    Client.onTimer();
    Client.completeRequests();
  }
  REQUIRE(Response);
  const bool IsTooLarge = Megabytes == 20;
  CHECK(Response->Status == (IsTooLarge ? 0 : 200));
  CHECK(Response->IsTooLarge == IsTooLarge);
  CHECK(Response->Body.size() == (IsTooLarge ? 0 : Megabytes << 20U));
}

TEST_CASE("a listing with numbers out of range confirms nothing", "[pool]") {
  const std::string Body = GENERATE(values<std::string>({
      R"({"clockMs":null,"born":1,"running":[],"ended":[]})",
      R"({"clockMs":1e999,"born":1,"running":[],"ended":[]})",
      R"({"clockMs":-1,"born":1,"running":[],"ended":[]})",
      R"({"clockMs":9223372036854775807,"born":1,"running":[],"ended":[]})",
      R"({"clockMs":5,"born":-1,"running":[],"ended":[]})",
      R"({"clockMs":5,"born":9223372036854775807,"running":[],"ended":[]})",
      R"({"clockMs":5,"running":[["j.0.0.0",-1]],"ended":[]})",
      R"({"clockMs":5,"running":[["j.0.0.0",4294967297]],"ended":[]})",
      R"({"clockMs":5,"running":[["j.0.0.4294967296",1]],"ended":[]})",
      R"({"clockMs":5,"running":[["j.0.0.-1",1]],"ended":[]})",
      R"({"clockMs":5,"running":[["j",1]],"ended":[]})",
      R"({"clockMs":5,"running":[7],"ended":[]})",
      R"({"clockMs":5,"running":[],"ended":[[-1,"j.0.0.0",1,"done"]]})",
      R"({"clockMs":5,"running":[],"ended":[[1,"j.0.0.0",4294967297,"done"]]})",
      R"({"clockMs":5,"running":[],"ended":[[1e999,"j.0.0.0",1,"done"]]})",
      R"({"clockMs":5,"running":[],"ended":[[1,"j.0.0.0",1]]})",
      R"({"clockMs":5,"running":)" + nested(1'000'000) + R"(,"ended":[]})",
      std::string(1'000'000, '['),
  }));
  CAPTURE(Body.substr(0, 80));
  const pool::renewal_response Renewal =
      platform::decodeRenewal({}, {200, Body});
  CHECK(Renewal.Outcome == pool::command_outcome::NoAnswer);
  CHECK(Renewal.Running.empty());
  CHECK(Renewal.Outcomes.empty());
}
