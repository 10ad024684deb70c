/// Watches of the platform's store in which odd entries come from another
/// writer: they name no target and no host, and the others hold.
#include "odd_entries.h"

#include "base/clock.h"
#include "platform/wire.h"
#include "poolhost/async_http_server.h"
#include "poolhost/store_watcher.h"
#include "standins/own_address.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace tarragonbridge;
using namespace std::chrono_literals;

namespace {
using poolhost::server_request;
using poolhost::server_response;

/// A store watcher and the store that it follows, on one loop. The test
/// supplies the store's responses for the targets' prefix; status 0 leaves a
/// request open.
struct followed_store {
  using responder = std::function<server_response(const server_request &)>;

  explicit followed_store(responder Given, std::string Prefix = "servers/")
      : Respond(std::move(Given)), Prefix(std::move(Prefix)),
        Server(Loop, {address(), ""}), Client(Loop, 4),
        Watcher(
            Client, {address(), {{"self", 1}, "127.0.0.1:1", "east"}},
            [this](pool::event &&Event) { record(std::move(Event)); },
            [this](const std::string &Key, const std::string &) {
              Refused.push_back(Key);
            }) {
    tryOr(
        [&] {
          return Server.start(
              [this](request_handle Request, server_request &&Received) {
                take(Request, Received);
              },
              [](request_handle) {});
        },
        [](const error &Error) { FAIL(Error.Message); });
  }

  static std::string address() { return ownAddress(19'431); }

  void take(request_handle Request, const server_request &Received) {
    if (Received.query("prefix") != Prefix) {
      Server.respond(Request, {503, "{}", {}});
      return;
    }
    ++(Received.Path == "/-/kv-range" ? Ranges : Watches);
    server_response Response = Respond(Received);
    if (Response.Status != 0) {
      Server.respond(Request, std::move(Response));
    }
  }

  void record(pool::event &&Event) {
    if (auto *Listed = std::get_if<pool::targets_listed>(&Event)) {
      Targets.push_back(std::move(*Listed));
    } else if (auto *Members = std::get_if<pool::members_listed>(&Event)) {
      Hosts.push_back(std::move(*Members));
    }
  }

  template <class Condition> bool runUntil(Condition &&IsMet) {
    const boot_time TimeoutAt = bootNow() + 5s;
    while (!IsMet() && bootNow() < TimeoutAt) {
      Loop.runOnce(std::min({Client.nextDueAt(), Watcher.nextDueAt(),
                             Server.nextDueAt(), TimeoutAt}));
      Client.onTimer();
      Client.completeRequests();
      Watcher.onTimer(bootNow());
      Server.flush(bootNow());
    }
    return IsMet();
  }

  responder Respond;
  std::string Prefix;
  poolhost::epoll_loop Loop;
  poolhost::async_http_server Server;
  poolhost::async_http_client Client;
  std::vector<pool::targets_listed> Targets;
  std::vector<pool::members_listed> Hosts;
  std::vector<std::string> Refused;
  poolhost::store_watcher Watcher;
  int Ranges = 0;
  int Watches = 0;
};

std::vector<std::string> idsOf(const pool::targets_listed &Listed) {
  std::vector<std::string> Ids;
  for (const pool::target_record &Record : Listed.Upserted) {
    Ids.push_back(Record.Id);
  }
  return Ids;
}

std::string keyText(const std::string &Id) { return R"("servers/)" + Id + '"'; }

} // namespace

TEST_CASE("of several changes of a key in one response the last one counts",
          "[pool]") {
  struct changes_case {
    std::vector<std::string> Changes; ///< "": the removal
    bool IsListed;
  };
  const std::string Valid = targetValue({});
  const auto Case =
      GENERATE_COPY(values<changes_case>({{{Valid, ""}, false},
                                          {{"", Valid}, true},
                                          {{Valid, "", Valid}, true},
                                          {{"", Valid, ""}, false},
                                          {{Valid, "!"}, false},
                                          {{"!", Valid}, true}}));
  CAPTURE(Case.Changes);
  std::vector<std::string> Events;
  for (const std::string &Value : Case.Changes) {
    Events.push_back(Value.empty()
                         ? R"({"key":"servers/a","removed":true,"revision":6})"
                         : itemText(keyText("a"), Value, 6));
  }
  followed_store Store([&](const server_request &Received) -> server_response {
    if (Received.Path == "/-/kv-range") {
      return {
          200, listText("items", {itemText(keyText("a"), Valid, 4)}, 5), {}};
    }
    return Received.query("after") == "5"
               ? server_response{200, listText("events", Events, 6), {}}
               : server_response{0, "", {}};
  });
  REQUIRE(Store.runUntil([&] { return Store.Targets.size() == 2; }));
  CHECK(Store.Targets[1].Upserted.empty() != Case.IsListed);
  CHECK(Store.Targets[1].Removed.empty() == Case.IsListed);
}

TEST_CASE("a target whose entry turns odd isn't used until it is valid again",
          "[pool]") {
  const std::string Odd = GENERATE(values<std::string>(
      {"", "\xff\xfe", "[[[[", "{}", nested(1'000'000),
       targetValue({{"state", R"("asleep")"}}), targetValue({{"service", "7"}}),
       targetValue({{"address", R"("10.1.1.1:99999")"}}),
       targetValue({{"capacity", capacityOf("1e18")}})}));
  CAPTURE(Odd.substr(0, 200));
  const std::string Valid = targetValue({});
  followed_store Store([&](const server_request &Received) -> server_response {
    const std::string After = Received.query("after");
    if (Received.Path == "/-/kv-range") {
      return {200,
              listText("items",
                       {itemText(keyText("a"), Valid, 4),
                        itemText(keyText("b"), Valid, 5)},
                       5),
              {}};
    }
    if (After == "5") {
      return {200, listText("events", {itemText(keyText("a"), Odd, 6)}, 6), {}};
    }
    if (After == "6") {
      return {
          200, listText("events", {itemText(keyText("a"), Valid, 7)}, 7), {}};
    }
    return {0, "", {}};
  });
  REQUIRE(Store.runUntil([&] { return Store.Targets.size() == 3; }));
  CHECK(idsOf(Store.Targets[0]) == std::vector<std::string>{"a", "b"});
  CHECK(idsOf(Store.Targets[1]).empty());
  CHECK(Store.Targets[1].Removed == std::vector<std::string>{"a"});
  CHECK(idsOf(Store.Targets[2]) == std::vector<std::string>{"a"});
  CHECK(Store.Refused == std::vector<std::string>{"servers/a"});
  CHECK(Store.Ranges == 1);
}

TEST_CASE("an item of a foreign key is ignored", "[pool]") {
  const std::string Key = GENERATE(values<std::string>({"", "x", "servers"}));
  followed_store Store([&](const server_request &Received) -> server_response {
    const std::string Removal =
        R"({"key":")" + Key + R"(","removed":true,"revision":6})";
    if (Received.Path == "/-/kv-range") {
      return {
          200,
          listText("items", {itemText('"' + Key + '"', "{}", 4), Removal}, 5),
          {}};
    }
    if (Received.query("after") == "5") {
      return {200,
              listText("events",
                       {Removal, itemText(keyText("a"), targetValue({}), 6)},
                       6),
              {}};
    }
    return {0, "", {}};
  });
  REQUIRE(Store.runUntil([&] { return Store.Targets.size() == 2; }));
  CHECK(Store.Targets[1].Removed.empty());
  CHECK(idsOf(Store.Targets[1]) == std::vector<std::string>{"a"});
}

TEST_CASE("a list is followed with an odd item anywhere on its pages",
          "[pool]") {
  // Items of each page, by name; "-" is one without a key, "!" an odd one.
  struct pages_case {
    std::vector<std::vector<std::string>> Pages;
    std::vector<std::string> Ids;
  };
  const auto Case = GENERATE(values<pages_case>({
      {{{"a", "b"}, {"c"}}, {"a", "b", "c"}},
      {{{"a", "b!"}, {"c"}}, {"a", "c"}},
      {{{"a"}, {"b!"}, {"c"}}, {"a", "c"}},
      {{{"a!"}, {"b!"}, {"c"}}, {"c"}},
      {{{"a"}, {"b!"}}, {"a"}},
      {{{"a!"}}, {}},
      {{{"a", "-"}, {"c"}}, {"a", "c"}},
      {{{"a"}, {"-"}, {"c"}}, {"a"}},
      {{{"-"}, {"c"}}, {}},
  }));
  CAPTURE(Case.Pages);
  int Page = -1;
  std::string LastKey;
  followed_store Store([&](const server_request &Received) -> server_response {
    if (Received.Path != "/-/kv-range") {
      return {0, "", {}};
    }
    Page = Received.query("after").empty()      ? 0
           : Received.query("after") == LastKey ? Page + 1
                                                : Page;
    const auto &Names = Case.Pages[static_cast<std::size_t>(Page)];
    std::vector<std::string> Items;
    for (const std::string &Name : Names) {
      if (Name == "-") {
        Items.emplace_back(R"({"value":"e30=","revision":3})");
        continue;
      }
      Items.push_back(
          itemText(keyText(Name), Name.size() > 1 ? "!" : targetValue({}), 3));
      LastKey = "servers/" + Name;
    }
    const bool IsLast = static_cast<std::size_t>(Page) + 1 == Case.Pages.size();
    return {200, listText("items", Items, 5, !IsLast), {}};
  });
  CHECK(
      Store.runUntil([&] { return Store.Watches == 1 || Store.Ranges > 20; }));
  CHECK(Store.Ranges <= 3);
  REQUIRE(Store.Targets.size() == 1);
  CHECK(idsOf(Store.Targets[0]) == Case.Ids);
}

TEST_CASE("a host whose entry turns odd counts as not registered", "[pool]") {
  const std::string Key = R"("tarragonbridge/hosts/h2")";
  followed_store Store(
      [&](const server_request &Received) -> server_response {
        if (Received.Path == "/-/kv-range") {
          return {200,
                  listText("items", {itemText(Key, memberValue({}), 4)}, 5),
                  {}};
        }
        if (Received.query("after") == "5") {
          return {200, listText("events", {itemText(Key, "\xff", 6)}, 6), {}};
        }
        return {0, "", {}};
      },
      "tarragonbridge/hosts/");
  REQUIRE(Store.runUntil([&] { return Store.Hosts.size() == 2; }));
  CHECK(Store.Hosts[0].Upserted.size() == 1);
  CHECK(Store.Hosts[1].Removed == std::vector<std::string>{"h2"});
}

// Of large values that are written often, the events since one revision only
// become more: the watch would fail until the store forgets that history.
TEST_CASE("a watch that can't be read is replaced by a new snapshot",
          "[pool]") {
  const std::string Unreadable = GENERATE(
      std::string("{"), std::string(R"({"at":6})"),
      listText("events",
               std::vector<std::string>(
                   9, itemText(keyText("odd"), std::string(1U << 20U, 'x'), 6)),
               6));
  CAPTURE(Unreadable.size());
  followed_store Store([&](const server_request &Received) -> server_response {
    if (Received.Path == "/-/kv-range") {
      const bool IsFirst = Store.Ranges == 1;
      return {
          200,
          listText("items",
                   {itemText(keyText(IsFirst ? "a" : "b"), targetValue({}), 4)},
                   IsFirst ? 5 : 7),
          {}};
    }
    return Received.query("after") == "5" ? server_response{200, Unreadable, {}}
                                          : server_response{0, "", {}};
  });
  REQUIRE(Store.runUntil([&] { return Store.Targets.size() == 2; }));
  CHECK(Store.Targets[1].IsSnapshot);
  CHECK(idsOf(Store.Targets[1]) == std::vector<std::string>{"b"});
}
