#include "platform/call_budget.h"
#include "platform/store_client.h"
#include "platform/watch_stream_p.h"

#include "net/http_server.h"
#include "standins/own_address.h"

#include <atomic>
#include <catch2/catch.hpp>

using namespace tarragonbridge;

namespace {
constexpr boot_time Start{std::chrono::hours(1)};

struct outcome_case {
  const char *Body;
  bool IsValid;
  bool Succeeded;
  std::size_t Present;
};
} // namespace

TEST_CASE("answers to transactions are read strictly") {
  const auto [Body, IsValid, Succeeded, Present] =
      GENERATE(values<outcome_case>(
          {{R"({"header":{"revision":"7"},"succeeded":true})", true, true, 0},
           {R"({"header":{"revision":"7"}})", true, false, 0},
           {R"({"header":{"revision":"7"},"responses":[{"response_range":
            {"kvs":[{"key":"YQ==","value":"Yg==","mod_revision":"5"}]}}]})",
            true, false, 1},
           {R"({"header":{"revision":"7"},"responses":[{"response_range":
            {"kvs":[{"key":"%","value":"Yg=="}]}}]})",
            false, false, 0},
           {R"({"header":{"revision":"x"},"succeeded":true})", false, false, 0},
           {R"({"header":{"revision":"7"},"succeeded":"yes"})", false, false,
            0},
           {R"({"succeeded":true})", false, false, 0},
           {"", false, false, 0}}));
  CAPTURE(Body);
  const auto Outcome = parseOutcome(Body);
  REQUIRE(Outcome.has_value() == IsValid);
  if (Outcome) {
    CHECK(Outcome->Succeeded == Succeeded);
    CHECK(Outcome->Present.size() == Present);
  }
}

TEST_CASE("a watch is read line by line, however it is cut into parts") {
  const std::string Text =
      R"({"result":{"header":{"revision":"4"},"created":true}})"
      "\n"
      R"({"result":{"header":{"revision":"5"},"events":[{"kv":{"key":"YQ==",)"
      R"("value":"Yg==","mod_revision":"5"}},{"type":"DELETE","kv":{"key":)"
      R"("Yw==","mod_revision":"5"}}]}})"
      "\n";
  const auto PartBytes = GENERATE(as<std::size_t>{}, 1, 7, 64, 1000);
  std::vector<watch_message> Messages;
  watch_stream Stream(
      [&](const watch_message &Message) {
        Messages.push_back(Message);
        return true;
      },
      Start);
  for (std::size_t At = 0; At < Text.size(); At += PartBytes) {
    Stream.add(std::string_view(Text).substr(At, PartBytes), Start);
  }
  REQUIRE(Messages.size() == 2);
  CHECK(Messages[0].Created);
  REQUIRE(Messages[1].Changes.size() == 2);
  CHECK_FALSE(Messages[1].Changes[0].IsDelete);
  CHECK(Messages[1].Changes[1].IsDelete);
  CHECK(Stream.isOpen());
  CHECK_FALSE(Stream.isSilent(Start + config::WatchSilence));
  CHECK(Stream.isSilent(Start + config::WatchSilence + milliseconds(1)));
  Stream.add("{}\n", Start);
  CHECK_FALSE(Stream.isOpen());
}

TEST_CASE("the budget allows a burst and then its rate") {
  call_budget Budget(10, 3);
  const auto TakenAt = [&](milliseconds At) {
    int Taken = 0;
    while (Budget.take(Start + At)) {
      ++Taken;
    }
    return Taken;
  };
  CHECK(TakenAt(milliseconds(0)) == 3);
  CHECK(TakenAt(milliseconds(50)) == 0);
  CHECK(TakenAt(milliseconds(200)) == 2);
  CHECK(TakenAt(milliseconds(60'000)) == 3);
}

TEST_CASE("back-off doubles up to its bound, with jitter") {
  backoff Backoff(milliseconds(100), milliseconds(1'000), 7);
  for (const int Most : {100, 200, 400, 800, 1'000, 1'000}) {
    const auto Wait = Backoff.next().count();
    CHECK(Wait >= Most / 2);
    CHECK(Wait <= Most);
  }
  Backoff.reset();
  CHECK(Backoff.next() <= milliseconds(100));
}

namespace {
/// A store that answers every call with one status and counts the calls.
class fixed_store {
public:
  fixed_store(std::string Address, int Status)
      : Address(std::move(Address)), Status(Status), Server({this->Address}) {
    tryOr(
        [&]() -> result<void> {
          return Server.start([this](request_handle Handle,
                                     http_request && /*Request*/) {
            ++Calls;
            Server.respond(
                Handle, {this->Status, R"({"header":{"revision":"3"}})", {}});
          });
        },
        [](const error &Error) { FAIL(Error.Message); });
  }

  const std::string Address;
  const int Status;
  std::atomic<int> Calls{0};

private:
  http_server Server;
};

reason reasonOf(const store_client &Store, bool Writes) {
  return tryOr(
      [&]() -> result<reason> {
        if (Writes) {
          BOOST_LEAF_CHECK(Store.txn({{{"a", 0}}, {{"a", "b"}}, {}}));
        } else {
          BOOST_LEAF_CHECK(Store.range("a"));
        }
        return reason::Count;
      },
      [](const error &Error) { return Error.Reason; });
}
} // namespace

TEST_CASE("endpoints are used in turn, and no write is repeated") {
  fixed_store Failing(ownAddress(19401), 503);
  fixed_store Working(ownAddress(19402), 200);
  http_client Client;
  const store_client Store(Client,
                           {"127.0.0.1:1", Failing.Address, Working.Address});
  CHECK(reasonOf(Store, true) == reason::StoreUnreachable);
  CHECK(reasonOf(Store, true) == reason::StoreOutcomeUnknown);
  CHECK(reasonOf(Store, true) == reason::Count);
  CHECK(reasonOf(Store, false) == reason::Count);
  CHECK(Failing.Calls == 1);
  CHECK(Working.Calls == 2);
  CHECK(Store.counters().Failures == 2);
}

TEST_CASE("a host keeps to its budget of calls") {
  fixed_store Working(ownAddress(19403), 200);
  http_client Client;
  const store_client Store(Client, {Working.Address});
  reason Reason = reason::Count;
  for (int Call = 0; Reason == reason::Count && Call < 1'000; ++Call) {
    Reason = reasonOf(Store, false);
  }
  CHECK(Reason == reason::StoreBudgetSpent);
  CHECK(Store.counters().OverBudget == 1);
}
