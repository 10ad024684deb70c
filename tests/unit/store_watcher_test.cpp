/// The watches of the platform's store, against a stand-in for it.
#include "poolhost/store_watcher.h"

#include "base/clock.h"
#include "poolhost/async_http_server.h"
#include "standins/own_address.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace tarragonbridge;
using namespace tarragonbridge::poolhost;
using namespace std::chrono_literals;

namespace {
/// An empty store. It answers reads, and no watch before it is told to.
class store_fixture {
public:
  store_fixture() {
    tryOr(
        [&] {
          return Server.start(
              [this](request_handle Request, server_request &&Received) {
                receive(Request, Received);
              },
              [](request_handle) {});
        },
        [](const error &Error) { FAIL(Error.Message); });
  }

  void runUntil(const std::function<bool()> &IsOver) {
    const boot_time TimeoutAt = bootNow() + 10s;
    while (!IsOver() && bootNow() < TimeoutAt) {
      Loop.runOnce(std::min(bootNow() + 5ms, Client.nextDueAt()));
      Client.onTimer();
      Client.completeRequests();
      Watcher.onTimer(bootNow());
      Server.flush(bootNow());
    }
    REQUIRE(IsOver());
  }
  void runFor(milliseconds Time) {
    const boot_time End = bootNow() + Time;
    runUntil([&] { return bootNow() >= End; });
  }
  /// Answers the watch of the targets without an event.
  void endTargetsWatch() {
    Server.respond(*TargetsWatch, {200, R"({"events":[],"at":5})", {}});
    TargetsWatch.reset();
  }
  /// Answers reads of what operators wrote from now on, and has it read again.
  void setOperatorItems(const std::string &Items) {
    OperatorRange = R"({"items":[)" + Items + R"(],"truncated":false,"at":9})";
    Evacuations.clear();
    Watcher.rereadOperatorItems(true);
  }
  const std::vector<pool::evacuations_listed> &evacuations() const {
    return Evacuations;
  }
  const std::vector<std::string> &refused() const { return Refused; }
  bool hasTargetsWatch() const { return TargetsWatch.has_value(); }
  std::size_t deliveries() const { return Deliveries; }
  std::uint64_t requestCount() const { return Watcher.requestCount(); }
  std::size_t losses() const { return Losses; }
  /// Has what operators wrote read again; the store leaves that unanswered.
  void rereadUnanswered() {
    AnswersReads = false;
    Watcher.rereadOperatorItems(false);
  }
  /// Answers all requests that are open but the watch of the targets.
  void answerOthers() {
    for (const request_handle Request : std::exchange(Others, {})) {
      Server.respond(Request, {200, "{}", {}});
    }
  }
  /// Stands still; what the store has answered waits to be read.
  void pause(milliseconds Time) {
    Server.flush(bootNow());
    std::this_thread::sleep_for(Time);
  }

private:
  static server_init serverInit(const std::string &Address) {
    server_init Init;
    Init.ListenAddress = Address;
    return Init;
  }
  void receive(request_handle Request, const server_request &Received) {
    const bool IsRead = Received.Path == "/-/kv-range" && AnswersReads;
    const std::string Prefix = Received.query("prefix");
    if (IsRead) {
      Server.respond(Request, {200,
                               Prefix == platform::OperatorPrefix
                                   ? OperatorRange
                                   : R"({"items":[],"truncated":false,"at":5})",
                               {}});
    } else if (Received.Path == "/-/kv-watch" &&
               Prefix == platform::TargetsPrefix) {
      TargetsWatch = Request;
    } else {
      Others.push_back(Request);
    }
  }

  const std::string Address = ownAddress(19431);
  epoll_loop Loop;
  async_http_client Client{Loop, 6};
  async_http_server Server{Loop, serverInit(Address)};
  std::optional<request_handle> TargetsWatch;
  std::string OperatorRange = R"({"items":[],"truncated":false,"at":5})";
  std::vector<pool::evacuations_listed> Evacuations;
  std::vector<std::string> Refused;
  std::vector<request_handle> Others;
  bool AnswersReads = true;
  std::size_t Deliveries = 0;
  std::size_t Losses = 0; ///< times that the store counted as unreachable
  store_watcher Watcher{
      Client,
      {Address, {}},
      [this](pool::event &&Event) {
        Deliveries += std::holds_alternative<pool::targets_listed>(Event);
        if (auto *Listed = std::get_if<pool::evacuations_listed>(&Event)) {
          Evacuations.push_back(std::move(*Listed));
        }
        const auto *Told = std::get_if<pool::store_reachability>(&Event);
        Losses += Told != nullptr && !Told->IsReachable;
      },
      [this](const std::string &Key, const std::string &) {
        Refused.push_back(Key);
      }};
};
} // namespace

// Guards against new work for a leaving target: a resumed host reads the answer
// to a watch from before its pause, and waits before it asks again.
TEST_CASE_METHOD(store_fixture,
                 "a watch whose answer comes late is repeated at once",
                 "[pool]") {
  constexpr milliseconds PauseTime{1'000};
  runUntil([this] { return hasTargetsWatch(); });
  runFor(PauseTime);
  const std::size_t Before = deliveries();
  const std::uint64_t RequestsBefore = requestCount();
  endTargetsWatch();
  runUntil([&] { return deliveries() > Before; });
  CHECK(requestCount() > RequestsBefore);
}

TEST_CASE_METHOD(store_fixture, "evacuations are read beside the configuration",
                 "[pool]") {
  const auto IsRead = [this] {
    return !evacuations().empty() && evacuations().back().Revision == 9;
  };
  runUntil([this] { return !evacuations().empty(); });
  CHECK(evacuations().front().IsSnapshot);
  CHECK(evacuations().front().Records.empty());

  setOperatorItems(
      R"({"key":"op/config","value":"e30=","revision":4},)"
      R"({"key":"op/evacuate/","value":"e30=","revision":5},)"
      R"({"key":"op/evacuate/a\u0001","value":"e30=","revision":6},)"
      R"({"key":"op/evacuate/b","value":"!","revision":7},)"
      R"({"key":"op/evacuate/east","value":"","revision":8},)"
      R"({"key":"op/wave/1","value":"e30=","revision":9})");
  runUntil(IsRead);
  CHECK(evacuations().back().IsSnapshot);
  CHECK(evacuations().back().Records ==
        std::vector<pool::evacuation_record>{{"east", true, 8}});
  CHECK(refused() == std::vector<std::string>{"op/evacuate/",
                                              "op/evacuate/a\x01",
                                              "op/evacuate/b", "op/config"});
}

// Guards against a store that counts as unreachable, so that targets which have
// left stay listed: libcurl gives up what was sent before a pause, also if the
// answers wait to be read.
TEST_CASE_METHOD(store_fixture,
                 "requests that a pause interrupts prove no outage", "[pool]") {
  const bool AreAnswered = GENERATE(false, true);
  CAPTURE(AreAnswered);
  constexpr milliseconds PauseTime{2'600}; ///< longer than a watch may take
  runUntil([this] { return hasTargetsWatch(); });
  rereadUnanswered();
  runFor(20ms);
  if (AreAnswered) {
    endTargetsWatch();
    answerOthers();
  }
  const std::uint64_t Before = requestCount();
  pause(PauseTime);
  runFor(50ms);
  CHECK(losses() == 0);
  CHECK(requestCount() > Before); // the watch is repeated at once
}

// Guards against an outage after a pause that is not noticed.
TEST_CASE_METHOD(store_fixture, "an outage after a pause is noticed",
                 "[pool]") {
  runUntil([this] { return hasTargetsWatch(); });
  pause(400ms);
  runFor(50ms);
  CHECK(losses() == 0);
  runUntil([this] { return losses() == 1; });
}
