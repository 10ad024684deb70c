#include "net/address.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "standins/own_address.h"

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace tarragonbridge;
using namespace std::chrono_literals;

namespace {
/// A connection that sends bytes as they are.
class raw_client {
public:
  explicit raw_client(const std::string &Address)
      : Fd(socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in Parsed = *parseAddress(Address);
    (void)connect(Fd, reinterpret_cast<const sockaddr *>(&Parsed),
                  sizeof(Parsed));
    const timeval Timeout{5, 0};
    setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof(Timeout));
  }
  ~raw_client() { close(Fd); }
  raw_client(const raw_client &) = delete;
  raw_client &operator=(const raw_client &) = delete;

  void send(const std::string &Bytes) const {
    (void)::send(Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }
  /// @returns what the server sends until it closes
  std::string receiveAll() const {
    std::string All;
    std::array<char, 4'096> Buffer{};
    ssize_t Count = 0;
    while ((Count = recv(Fd, Buffer.data(), Buffer.size(), 0)) > 0) {
      All.append(Buffer.data(), static_cast<std::size_t>(Count));
    }
    return All;
  }

private:
  int Fd;
};

void startServer(http_server &Server, http_server::handler Handler) {
  tryOr([&] { return Server.start(std::move(Handler)); },
        [](const error &Error) { FAIL(Error.Message); });
}
} // namespace

// The same request may have been sent before, whole, and its job may run.
TEST_CASE("a refusal of a body that wasn't read doesn't deny that it ran") {
  struct refusal_case {
    std::string Name;
    std::size_t MaxUnfinishedBytes;
    std::string Headers;
    std::string Body;
    std::string Status;
  };
  const auto Case = GENERATE(values<refusal_case>({
      {"announced too large", 1'000'000, "Content-Length: 200000\r\n\r\n", "",
       "413"},
      {"sent too large", 1'000'000, "Transfer-Encoding: chunked\r\n\r\n",
       "1ffff\r\n" + std::string(0x1ffff, 'x') + "\r\n", "413"},
      {"cut off for room", 100'000, "Content-Length: 90000\r\n\r\n",
       std::string(89'999, 'x'), "503"},
  }));
  CAPTURE(Case.Name);
  http_server_init Init;
  Init.Listen = ownAddress(19475);
  Init.MaxBodyBytes = 100'000;
  Init.Guard = makeServerGuard({100, Case.MaxUnfinishedBytes, 100'000});
  http_server Server(Init);
  std::atomic<int> Handled{0};
  startServer(Server, [&](request_handle, http_request &&) { ++Handled; });
  const std::string Head = "POST /v1/jobs HTTP/1.1\r\nHost: h\r\n";
  const raw_client Other(Init.Listen);
  Other.send(Head + "Content-Length: 90000\r\n\r\n" + std::string(89'999, 'x'));
  std::this_thread::sleep_for(100ms); // so that the next client is the newest
  const raw_client Client(Init.Listen);
  Client.send(Head + Case.Headers + Case.Body);
  const std::string Response = Client.receiveAll();
  CHECK_THAT(Response, Catch::StartsWith("HTTP/1.1 " + Case.Status));
  CHECK_THAT(Response, Catch::Contains(R"("not_run":false)"));
  Client.send("x"); // for the request that was cut off: its last byte
  std::this_thread::sleep_for(50ms);
  CHECK(Handled == 0);
}

TEST_CASE("a server ends while requests arrive") {
  constexpr int Rounds = 100;
  constexpr int Clients = 8;
  http_client Client;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::atomic<int> Open{Clients};
    {
      http_server_init Init;
      Init.Listen = ownAddress(19473);
      http_server Server(Init);
      // No request is answered, so each is held until the server ends.
      const bool Listens = tryOr(
          [&]() -> result<bool> {
            BOOST_LEAF_CHECK(
                Server.start([](request_handle, http_request &&) {}));
            return true;
          },
          [](const error &) { return false; });
      REQUIRE(Listens);
      for (int Index = 0; Index < Clients; ++Index) {
        http_call Call;
        Call.Url = "http://" + ownAddress(19473) + "/";
        Client.send(std::move(Call), [&](http_result &&) { --Open; });
      }
      std::this_thread::sleep_for(
          std::chrono::microseconds(200 * (Round % 10)));
    }
    while (Open != 0) {
      std::this_thread::yield();
    }
  }
}

// Two processes on one address would each get a part of its connections.
TEST_CASE("an address that another server listens on is refused") {
  const auto Start = [](http_server &Server) {
    return tryOr(
        [&]() -> result<std::string> {
          BOOST_LEAF_CHECK(
              Server.start([](request_handle, http_request &&) {}));
          return std::string("listens");
        },
        [](const error &Error) { return Error.Step + " " + Error.Peer; });
  };
  http_server_init Init;
  Init.Listen = ownAddress(19474);
  http_server First(Init);
  REQUIRE(Start(First) == "listens");
  http_server Second(Init);
  CHECK(Start(Second) == "listen " + Init.Listen);
}

// Whether it repeats a job that runs is known once its key is.
TEST_CASE("a server may handle requests that find no room") {
  const bool HandlesWithoutRoom = GENERATE(true, false);
  CAPTURE(HandlesWithoutRoom);
  constexpr std::size_t BodyBytes = 60'000;
  http_server_init Init;
  Init.Listen = ownAddress(19476);
  Init.Guard = makeServerGuard({100, 1'000'000, 90'000});
  Init.HandlesWithoutRoom = HandlesWithoutRoom;
  http_server Server(Init);
  std::atomic<int> WithRoom{0};
  std::atomic<int> WithoutRoom{0};
  startServer(Server, [&](request_handle Handle, http_request &&Request) {
    ++(Request.HasRoom ? WithRoom : WithoutRoom);
    if (!Request.HasRoom) {
      Server.respond(Handle, {200, std::to_string(Request.Body.size()), {}});
    }
  });
  const std::string Request = "POST /v1/jobs HTTP/1.1\r\nHost: h\r\n"
                              "Connection: close\r\nContent-Length: " +
                              std::to_string(BodyBytes) + "\r\n\r\n" +
                              std::string(BodyBytes, 'x');
  const raw_client First(Init.Listen); // held, as it gets no response
  First.send(Request);
  while (WithRoom == 0) {
    std::this_thread::yield();
  }
  const raw_client Second(Init.Listen);
  Second.send(Request);
  const std::string Response = Second.receiveAll();
  CHECK_THAT(Response, Catch::StartsWith(HandlesWithoutRoom ? "HTTP/1.1 200"
                                                            : "HTTP/1.1 429"));
  CHECK(WithRoom == 1);
  CHECK(WithoutRoom == (HandlesWithoutRoom ? 1 : 0));
}
