#include "base/clock.h"
#include "closing_server.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "standins/own_address.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;

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
  http_server Server({ownAddress(19404)});
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
  Call.Url = "http://" + ownAddress(19404) + "/";
  Call.Timeout = std::chrono::seconds(20);
  Call.KeepGoing = [&] { return bootNow() - Started < milliseconds(2'500); };
  const http_result Result = sendAndWait(Client, std::move(Call));
  CHECK(Result.Status == 0);
  CAPTURE(IsBegun);
  CHECK(Result.Error.find("callback") != std::string::npos);
}
