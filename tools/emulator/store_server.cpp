#include "emulator/store_server.h"

#include "base/clock.h"
#include "base/codec.h"
#include "core/json_text.h"

#include <memory>

namespace tarragonbridge::emulator {

namespace {
using poolhost::server_request;
using poolhost::server_response;

constexpr int StatusBadRequest = 400;
constexpr int StatusForbidden = 403;
constexpr int StatusNotFound = 404;
constexpr int StatusGone = 410;
constexpr int StatusConflict = 412;
constexpr int StatusUnavailable = 503;
constexpr std::size_t PageItems = 500;

std::optional<Json::Value> parse(const std::string &Text) {
  Json::CharReaderBuilder Builder;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  Json::Value Root;
  return Reader->parse(Text.data(), Text.data() + Text.size(), &Root, nullptr)
             ? std::optional(Root)
             : std::nullopt;
}

Json::Value describe(const kv_item &Item) {
  Json::Value Node;
  Node["key"] = Item.Key;
  Node["revision"] = static_cast<Json::UInt64>(Item.Revision);
  if (Item.IsRemoved) {
    Node["removed"] = true;
    return Node;
  }
  Node["value"] = encodeBase64(Item.Value);
  Node["created"] = static_cast<Json::UInt64>(Item.Created);
  Node["lease"] = static_cast<Json::UInt64>(Item.Lease);
  return Node;
}

server_response json(const Json::Value &Body, int Status = 200) {
  return {Status, writeJson(Body), {}};
}

std::uint64_t numberOf(const server_request &Received,
                       const std::string &Name) {
  const std::string Text = Received.query(Name);
  return Text.empty() ? 0 : std::strtoull(Text.c_str(), nullptr, 10);
}

bool isOwnedByPlatform(const std::string &Key) {
  return Key.starts_with("op/") || Key.starts_with("servers/");
}
} // namespace

store_server::store_server(poolhost::epoll_loop &Loop, schedule &Schedule,
                           const std::string &Listen, std::uint64_t Seed)
    : Schedule(Schedule), Entry(Loop, {Listen, ""}), Random(Seed) {}

result<void> store_server::start() {
  return Entry.start(
      [this](request_handle Request, server_request &&Received) {
        take(Request, std::move(Received));
      },
      [this](request_handle Request) {
        std::erase_if(Watches, [&](const open_watch &Watch) {
          return Watch.Request == Request;
        });
      });
}

void store_server::setFaults(const store_faults &Given, boot_time Now) {
  const bool WasAway = Faults.IsDown || Faults.IsSilent;
  Faults = Given;
  const bool IsAway = Faults.IsDown || Faults.IsSilent;
  if (!WasAway && IsAway) {
    DownSince = Now;
    for (const open_watch &Watch : Watches) {
      if (Faults.IsDown) {
        Entry.respond(Watch.Request, {StatusUnavailable, "{}", {}});
      }
    }
    Watches.clear();
  } else if (WasAway && !IsAway) {
    Keys.prolongAll(Now - DownSince);
  }
}

void store_server::write(const std::string &Key, const std::string &Value) {
  Keys.transact({}, {{Key, Value, 0}}, {});
}

void store_server::remove(const std::string &Key) {
  Keys.transact({}, {}, {Key});
}

void store_server::take(request_handle Request, server_request &&Received) {
  ++Calls;
  if (Faults.IsSilent) {
    return;
  }
  if (Faults.IsDown) {
    Entry.respond(Request, {StatusUnavailable, "{}", {}});
    return;
  }
  if (Received.Path == "/-/kv-watch") {
    beginWatch(Request, Received);
    return;
  }
  server_response Answer = answer(Received);
  const bool IsWrite = Received.Path == "/-/kv-txn";
  const bool IsLost = IsWrite && std::uniform_real_distribution<>(0, 1)(
                                     Random) < Faults.LosesAnswers;
  if (!IsLost) {
    respond(Request, std::move(Answer));
  }
}

void store_server::respond(request_handle Request, server_response Response) {
  if (Faults.Slow == milliseconds(0)) {
    Entry.respond(Request, std::move(Response));
    return;
  }
  Schedule.at(bootNow() + Faults.Slow,
              [this, Request, Response = std::move(Response)] {
                Entry.respond(Request, Response);
              });
}

server_response store_server::answer(const server_request &Received) {
  Json::Value Body;
  Body["at"] = static_cast<Json::UInt64>(Keys.revision());
  if (Received.Path == "/-/kv-key") {
    const auto Item = Keys.find(Received.query("key"));
    if (!Item) {
      return {StatusNotFound, "{}", {}};
    }
    Json::Value Node = describe(*Item);
    Node["at"] = Body["at"];
    return json(Node);
  }
  if (Received.Path == "/-/kv-range") {
    const auto Items =
        Keys.range(Received.query("prefix"), Received.query("after"));
    Body["items"] = Json::Value(Json::arrayValue);
    for (std::size_t Index = 0; Index < std::min(Items.size(), PageItems);
         ++Index) {
      Body["items"].append(describe(Items[Index]));
    }
    Body["truncated"] = Items.size() > PageItems;
    return json(Body);
  }
  if (Received.Path == "/-/kv-txn") {
    return transact(Received.Body);
  }
  const std::string Keep = "/-/kv-keep/";
  const std::string End = "/-/kv-lease-end/";
  if (Received.Path.starts_with(Keep)) {
    const bool Renewed = Keys.renew(
        std::strtoull(Received.Path.c_str() + Keep.size(), nullptr, 10),
        bootNow());
    return {Renewed ? 200 : StatusNotFound, "{}", {}};
  }
  if (Received.Path.starts_with(End)) {
    const bool Ended = Keys.end(
        std::strtoull(Received.Path.c_str() + End.size(), nullptr, 10));
    return {Ended ? 200 : StatusNotFound, "{}", {}};
  }
  if (Received.Path == "/-/kv-lease") {
    const auto Root = parse(Received.Body);
    if (!Root || !(*Root)["ttlMs"].isInt64()) {
      return {StatusBadRequest, "{}", {}};
    }
    Body["ttlMs"] = (*Root)["ttlMs"];
    Body["lease"] = static_cast<Json::UInt64>(
        Keys.grant(milliseconds((*Root)["ttlMs"].asInt64()), bootNow()));
    return json(Body);
  }
  return {StatusBadRequest, "{}", {}};
}

server_response store_server::transact(const std::string &Text) {
  const auto Root = parse(Text);
  if (!Root || !Root->isObject()) {
    return {StatusBadRequest, "{}", {}};
  }
  std::vector<kv_condition> Conditions;
  for (const Json::Value &Row : (*Root)["precondition"]) {
    Conditions.push_back({Row["key"].asString(), Row["revision"].asUInt64()});
  }
  std::vector<kv_write> Writes;
  for (const Json::Value &Row : (*Root)["setKeys"]) {
    const auto Value = decodeBase64(Row["value"].asString());
    if (!Value) {
      return {StatusBadRequest, "{}", {}};
    }
    if (isOwnedByPlatform(Row["key"].asString())) {
      return {StatusForbidden, "{}", {}};
    }
    Writes.push_back({Row["key"].asString(), *Value, Row["lease"].asUInt64()});
  }
  std::vector<std::string> Removals;
  for (const Json::Value &Key : (*Root)["deleteKeys"]) {
    Removals.push_back(Key.asString());
  }
  Json::Value Body;
  switch (Keys.transact(Conditions, Writes, Removals)) {
  case kv_outcome::NoSuchLease:
    return {StatusNotFound, "{}", {}};
  case kv_outcome::ConditionFailed:
    return {StatusConflict, "{}", {}};
  case kv_outcome::Done:
    break;
  }
  Body["revision"] = static_cast<Json::UInt64>(Keys.revision());
  return json(Body);
}

void store_server::beginWatch(request_handle Request,
                              const server_request &Received) {
  const open_watch Watch{
      Request, Received.query("prefix"), numberOf(Received, "after"),
      bootNow() + milliseconds(numberOf(Received, "waitMs"))};
  if (!answerWatch(Watch, bootNow())) {
    Watches.push_back(Watch);
  }
}

bool store_server::answerWatch(const open_watch &Watch, boot_time Now) {
  if (Faults.MissesWatches && Now < Watch.Until) {
    return false;
  }
  const auto Changes = Keys.changesAfter(Watch.Prefix, Watch.After);
  if (!Changes) {
    respond(Watch.Request, {StatusGone, "{}", {}});
    return true;
  }
  if (Changes->empty() && Now < Watch.Until) {
    return false;
  }
  Json::Value Body;
  Body["at"] = static_cast<Json::UInt64>(Keys.revision());
  Body["events"] = Json::Value(Json::arrayValue);
  for (const kv_item &Change : *Changes) {
    Body["events"].append(describe(Change));
  }
  respond(Watch.Request, json(Body));
  return true;
}

void store_server::onTimer(boot_time Now) {
  if (Faults.IsDown || Faults.IsSilent) {
    return;
  }
  Keys.expire(Now);
  std::erase_if(Watches, [&](const open_watch &Watch) {
    return answerWatch(Watch, Now);
  });
}

} // namespace tarragonbridge::emulator
