#include "net/http_client.h"
#include "net/http_server.h"
#include "standins/own_address.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace tarragonbridge;

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
