#include "fault_proxy/relay.h"

#include "base/clock.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "standins/own_address.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

using namespace tarragonbridge;

namespace {
constexpr milliseconds Bound{30'000};

/// A server behind a link, and a client of it.
class linked_server {
public:
  linked_server() : Relay(1) {
    Address = tryOr(
        [&]() -> result<std::string> {
          BOOST_LEAF_CHECK(Server.start(
              [this](request_handle Handle, http_request &&Request) {
                ++Requests;
                Server.respond(Handle, {200, Request.Body, {}, "text/plain"});
              }));
          return Relay.add("link", "127.0.0.1:0", Listen);
        },
        [](const error &Error) { return Error.Message; });
  }

  void change(const char *Faults) {
    const bool IsDone = tryOr(
        [&]() -> result<bool> {
          BOOST_LEAF_CHECK(Relay.change("link", Faults));
          return true;
        },
        [](const error &) { return false; });
    REQUIRE(IsDone);
  }

  void send(std::string Body) {
    http_call Call;
    Call.Url = "http://" + Address + "/";
    Call.Body = std::move(Body);
    Call.Timeout = Bound;
    Client.send(std::move(Call), [this](http_result &&Result) {
      Answer = std::move(Result);
      IsAnswered = true;
    });
  }

  bool waitFor(const std::function<bool()> &Holds) const {
    const boot_time Until = bootNow() + Bound;
    while (!Holds() && bootNow() < Until) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    return Holds();
  }
  bool waitForAnswer() const {
    return waitFor([this] { return IsAnswered.load(); });
  }

  std::atomic<int> Requests{0};
  std::atomic<bool> IsAnswered{false};
  http_result Answer;

private:
  static http_server_init serverInit(const std::string &Listen) {
    http_server_init Init;
    Init.Listen = Listen;
    return Init;
  }

  static constexpr std::uint16_t ServerPort = 19'405;
  std::string Listen = ownAddress(ServerPort);
  std::string Address;
  http_server Server{serverInit(Listen)};
  link_relay Relay;
  http_client Client;
};

struct faults_case {
  const char *Body;
  bool IsValid;
};
} // namespace

TEST_CASE("a link without faults carries large bodies") {
  linked_server Linked;
  Linked.send(std::string(5'000'000, 'x'));
  REQUIRE(Linked.waitForAnswer());
  CHECK(Linked.Answer.Status == 200);
  CHECK(Linked.Answer.Body.size() == 5'000'000);
}

TEST_CASE("the answer to a request that went through is held, then delivered") {
  linked_server Linked;
  Linked.change(R"({"direction":"backward","held":true})");
  Linked.send("a");
  REQUIRE(Linked.waitFor([&] { return Linked.Requests == 1; }));
  CHECK_FALSE(Linked.IsAnswered);
  Linked.change(R"({"held":false})");
  REQUIRE(Linked.waitForAnswer());
  CHECK(Linked.Answer.Body == "a");
}

TEST_CASE("a request on a held link does not arrive before it is released") {
  linked_server Linked;
  Linked.change(R"({"direction":"forward","held":true})");
  Linked.send("a");
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(Linked.Requests == 0);
  Linked.change(R"({"held":false})");
  REQUIRE(Linked.waitForAnswer());
  CHECK(Linked.Requests == 1);
}

TEST_CASE("a link that is reset breaks calls until it is whole again") {
  linked_server Linked;
  Linked.change(R"({"direction":"backward","held":true})");
  Linked.send("a");
  REQUIRE(Linked.waitFor([&] { return Linked.Requests == 1; }));
  Linked.change(R"({"reset":true})");
  REQUIRE(Linked.waitForAnswer());
  CHECK(Linked.Answer.Status == 0);
  CHECK(Linked.Answer.WasSent);
  Linked.IsAnswered = false;
  Linked.change(R"({"reset":false,"held":false})");
  Linked.send("b");
  REQUIRE(Linked.waitForAnswer());
  CHECK(Linked.Answer.Body == "b");
}

TEST_CASE("delay, jitter and bandwidth add to the time of a call") {
  const auto [Faults, LeastMs] = GENERATE(values<std::pair<const char *, int>>({
      {R"({"delay_ms":40})", 80},
      {R"({"direction":"backward","delay_ms":40,"jitter_ms":5})", 40},
      {R"({"direction":"forward","bytes_per_second":100000})", 100},
  }));
  CAPTURE(Faults);
  linked_server Linked;
  Linked.change(Faults);
  const boot_time Began = bootNow();
  Linked.send(std::string(10'000, 'x'));
  REQUIRE(Linked.waitForAnswer());
  CHECK(Linked.Answer.Status == 200);
  CHECK(bootNow() - Began >= milliseconds(LeastMs));
}

TEST_CASE("bytes past a bound are lost") {
  linked_server Linked;
  Linked.change(R"({"direction":"forward","drop_after_bytes":500})");
  Linked.send(std::string(1'000, 'x'));
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(Linked.Requests == 0);
  Linked.change(R"({"reset":true})");
  REQUIRE(Linked.waitForAnswer());
  CHECK(Linked.Answer.Status == 0);
}

TEST_CASE("faults are read strictly") {
  const auto [Body, IsValid] = GENERATE(values<faults_case>({
      {R"({"direction":"both","delay_ms":1,"held":true})", true},
      {R"({"drop_after_bytes":-1,"reset":false})", true},
      {R"({"direction":"up"})", false},
      {R"({"delay_ms":"1"})", false},
      {R"({"speed":1})", false},
      {"", false},
  }));
  CAPTURE(Body);
  link_faults Faults;
  const bool IsRead = tryOr(
      [&, Text = Body]() -> result<bool> {
        BOOST_LEAF_CHECK(applyFaults(Text, Faults));
        return true;
      },
      [](const error &) { return false; });
  CHECK(IsRead == IsValid);
}
