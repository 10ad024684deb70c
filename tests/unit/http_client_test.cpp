#include "base/clock.h"
#include "base/thread.h"
#include "net/address.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace tarragonbridge;

namespace {
/// Listens on a free port; answers the first request of its first connection,
/// then reads one more whole request on any connection and closes without an
/// answer.
class closing_server {
public:
  closing_server() {
    sockaddr_in Address = *parseAddress("127.0.0.1:0");
    Listener = socket(AF_INET, SOCK_STREAM, 0);
    (void)bind(Listener, reinterpret_cast<sockaddr *>(&Address),
               sizeof Address);
    listen(Listener, 8);
    socklen_t Size = sizeof Address;
    getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Size);
    Port = ntohs(Address.sin_port);
    Thread = posix_thread("closing-server", [this] { run(); });
  }
  ~closing_server() {
    shutdown(Listener, SHUT_RDWR);
    Thread.join();
    close(Listener);
  }
  closing_server(const closing_server &) = delete;
  closing_server &operator=(const closing_server &) = delete;

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(Port) + "/";
  }
  /// Refuses new connections; the first one stays.
  void stopListening() const { shutdown(Listener, SHUT_RDWR); }
  int bodiesRead() const { return Bodies; }

private:
  bool readRequest(int Socket) {
    std::string Text;
    std::array<char, 4096> Buffer{};
    while (Text.find("BODY") == std::string::npos) {
      const ssize_t Count = recv(Socket, Buffer.data(), Buffer.size(), 0);
      if (Count <= 0) {
        return false;
      }
      Text.append(Buffer.data(), static_cast<std::size_t>(Count));
    }
    ++Bodies;
    return true;
  }

  void run() {
    bool IsFirst = true;
    for (int Socket = accept(Listener, nullptr, nullptr); Socket >= 0;
         Socket = accept(Listener, nullptr, nullptr)) {
      if (IsFirst && readRequest(Socket)) {
        const std::string Answer =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        send(Socket, Answer.data(), Answer.size(), MSG_NOSIGNAL);
      }
      IsFirst = false;
      readRequest(Socket);
      close(Socket);
    }
  }

  int Listener = -1;
  int Port = 0;
  std::atomic<int> Bodies{0};
  posix_thread Thread;
};
} // namespace

// Invariant: no task of a submission starts twice. libcurl repeats a request by
// itself when a kept connection is closed before the first byte of its answer.
TEST_CASE("a request on a kept connection that closes is not sent again") {
  closing_server Server;
  http_client Client;
  const auto Send = [&] {
    http_call Call;
    Call.Url = Server.url();
    Call.Body = "BODY";
    return sendAndWait(Client, std::move(Call));
  };
  CHECK(Send().Status == 200);
  const http_result Second = Send();
  CHECK(Second.Status == 0);
  CHECK(Second.WasSent);
  CHECK(Server.bodiesRead() == 2);
}

TEST_CASE("a call that breaks with its server does not fail the next call") {
  closing_server Server;
  closing_server Other;
  http_client Client;
  const auto Send = [&](const std::string &Url) {
    http_call Call;
    Call.Url = Url;
    Call.Body = "BODY";
    return sendAndWait(Client, std::move(Call)).Status;
  };
  CHECK(Send(Server.url()) == 200);
  Server.stopListening();
  CHECK(Send(Server.url()) == 0);
  CHECK(Send(Other.url()) == 200);
}

TEST_CASE("a call that finds no listener proves that nothing was sent") {
  http_client Client;
  http_call Call;
  Call.Url = "http://127.0.0.1:1/";
  Call.Body = "BODY";
  const http_result Result = sendAndWait(Client, std::move(Call));
  CHECK(Result.Status == 0);
  CHECK_FALSE(Result.WasSent);
}

TEST_CASE("a call without an answer, or with half of one, ends when its caller "
          "says so") {
  http_server Server({"127.0.0.1:19404"});
  const bool IsBegun = GENERATE(false, true);
  const auto OnRequest = [&](request_handle Handle, http_request &&) {
    if (IsBegun) {
      Server.beginStream(Handle, {200, "first part", {}});
    }
  };
  tryOr([&] { return Server.start(OnRequest); },
        [](const error &Error) { FAIL(Error.Message); });
  http_client Client;
  const boot_time Started = bootNow();
  http_call Call;
  Call.Url = "http://127.0.0.1:19404/";
  Call.Timeout = std::chrono::seconds(20);
  Call.KeepGoing = [&] { return bootNow() - Started < milliseconds(300); };
  const http_result Result = sendAndWait(Client, std::move(Call));
  CHECK(Result.Status == 0);
  CAPTURE(IsBegun);
  CHECK(Result.Error.find("callback") != std::string::npos);
}
