/// The pool host's sockets: calls, callers and what they prove.
#include "base/clock.h"
#include "closing_server.h"
#include "poolhost/http_calls.h"
#include "poolhost/http_entry.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace tarragonbridge;
using namespace tarragonbridge::poolhost;
using namespace std::chrono_literals;

namespace {
call_result sendAndWait(epoll_loop &Loop, http_calls &Calls,
                        const std::string &Address) {
  std::optional<call_result> Result;
  outgoing_call Call;
  Call.Address = Address;
  Call.Path = "/";
  Call.Body = "BODY";
  Calls.send(std::move(Call),
             [&](call_result &&Got) { Result = std::move(Got); });
  const boot_time GiveUpAt = bootNow() + 5s;
  while (!Result && bootNow() < GiveUpAt) {
    Loop.runOnce(std::min(Calls.nextDue(), GiveUpAt));
    Calls.onTimer();
    Calls.completeCalls();
  }
  return Result.value_or(call_result{});
}
} // namespace

// A start that was carried out must never count as not sent: libcurl repeats a
// request on a new connection, which may then be refused.
TEST_CASE("a call that left once was sent, whatever becomes of its repetition",
          "[pool]") {
  epoll_loop Loop;
  closing_server Server;
  http_calls Calls(Loop, 4);
  CHECK(sendAndWait(Loop, Calls, Server.address()).Status == 200);
  Server.stopAfterwards();
  const call_result Second = sendAndWait(Loop, Calls, Server.address());
  CHECK(Server.bodiesRead() == 2);
  CHECK(Second.Status == 0);
  CHECK(Second.WasSent);
}

TEST_CASE("a call to a port without a listener was not sent", "[pool]") {
  epoll_loop Loop;
  http_calls Calls(Loop, 4);
  const call_result Result = sendAndWait(Loop, Calls, "127.0.0.1:1");
  CHECK(Result.Status == 0);
  CHECK_FALSE(Result.WasSent);
}
