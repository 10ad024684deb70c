#include "store.h"

#include "record.h"

#include <boost/json.hpp>

namespace standin {

namespace json = boost::json;

namespace {
std::string toBase64(const std::string &Bytes) {
  constexpr char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    std::uint32_t Group = 0;
    for (std::size_t Index = 0; Index < 3; ++Index) {
      Group =
          (Group << 8U) | (At + Index < Bytes.size()
                               ? static_cast<unsigned char>(Bytes[At + Index])
                               : 0U);
    }
    for (int Digit = 0; Digit < 4; ++Digit) {
      const bool IsPadding =
          At + static_cast<std::size_t>(Digit) > Bytes.size();
      Text += IsPadding ? '=' : Digits[(Group >> (18 - 6 * Digit)) & 63U];
    }
  }
  return Text;
}
} // namespace

store::store()
    : Server([this](const http_message &Message) { return handle(Message); }) {
  Expirer = std::thread([this] { expireLeases(); });
}

store::~store() {
  {
    const std::lock_guard Lock(Mutex);
    IsEnding = true;
  }
  Changed.notify_all();
  Server.stop();
  Expirer.join();
}

void store::put(const std::string &Key, const std::string &Value) {
  const std::lock_guard Lock(Mutex);
  set(Key, toBase64(Value), 0);
}

void store::remove(const std::string &Key) {
  const std::lock_guard Lock(Mutex);
  erase(Key);
}

void store::set(const std::string &Key, const std::string &Base64,
                std::uint64_t Lease) {
  item &Item = Items[Key];
  Item.Value = Base64;
  Item.Revision = ++Revision;
  Item.Created = Item.Created == 0 ? Revision : Item.Created;
  Item.Lease = Lease;
  History.push_back({Revision, Key, false, Item});
  Changed.notify_all();
}

void store::erase(const std::string &Key) {
  if (Items.erase(Key) > 0) {
    History.push_back({++Revision, Key, true, {}});
    Changed.notify_all();
  }
}

void store::endLease(std::uint64_t Lease) {
  Leases.erase(Lease);
  std::vector<std::string> Keys;
  for (const auto &[Key, Item] : Items) {
    if (Item.Lease == Lease) {
      Keys.push_back(Key);
    }
  }
  for (const std::string &Key : Keys) {
    erase(Key);
  }
}

void store::expireLeases() {
  std::unique_lock Lock(Mutex);
  while (!IsEnding) {
    std::vector<std::uint64_t> Ended;
    for (const auto &[Id, Lease] : Leases) {
      if (Lease.EndsAt <= nowMs()) {
        Ended.push_back(Id);
      }
    }
    for (const std::uint64_t Id : Ended) {
      endLease(Id);
    }
    Changed.wait_for(Lock, std::chrono::milliseconds(20));
  }
}

http_reply store::handle(const http_message &Message) {
  const std::string &Path = Message.Path;
  if (Path == "/-/kv-watch") {
    return watch(Message);
  }
  const std::lock_guard Lock(Mutex);
  if (Path == "/-/kv-key") {
    const auto Found = Items.find(Message.Query.at("key"));
    if (Found == Items.end()) {
      return {404, "{}"};
    }
    const item &Item = Found->second;
    return {200, json::serialize(json::object{{"key", Found->first},
                                              {"value", Item.Value},
                                              {"revision", Item.Revision},
                                              {"created", Item.Created},
                                              {"lease", Item.Lease},
                                              {"at", Revision}})};
  }
  if (Path == "/-/kv-range") {
    return range(Message);
  }
  if (Path == "/-/kv-txn") {
    return transact(Message);
  }
  if (Path == "/-/kv-lease") {
    const std::int64_t Ttl =
        json::parse(Message.Body).at("ttlMs").to_number<std::int64_t>();
    Leases[++LastLease] = {Ttl, nowMs() + Ttl};
    return {200, json::serialize(
                     json::object{{"lease", LastLease}, {"ttlMs", Ttl}})};
  }
  const std::size_t Slash = Path.rfind('/');
  const std::string Verb = Path.substr(0, Slash);
  if (Verb == "/-/kv-keep" || Verb == "/-/kv-lease-end") {
    const auto Found = Leases.find(std::stoull(Path.substr(Slash + 1)));
    if (Found == Leases.end()) {
      return {404, "{}"};
    }
    if (Verb == "/-/kv-lease-end") {
      endLease(Found->first);
      return {200, "{}"};
    }
    Found->second.EndsAt = nowMs() + Found->second.TtlMs;
    return {200, json::serialize(json::object{{"ttlMs", Found->second.TtlMs}})};
  }
  return {404, "{}"};
}

http_reply store::range(const http_message &Message) {
  const std::string &Prefix = Message.Query.at("prefix");
  json::array List;
  for (const auto &[Key, Item] : Items) {
    if (Key.starts_with(Prefix)) {
      List.push_back(json::object{{"key", Key},
                                  {"value", Item.Value},
                                  {"revision", Item.Revision},
                                  {"created", Item.Created},
                                  {"lease", Item.Lease}});
    }
  }
  return {200, json::serialize(json::object{
                   {"items", List}, {"truncated", false}, {"at", Revision}})};
}

http_reply store::watch(const http_message &Message) {
  const std::string Prefix = Message.Query.at("prefix");
  const std::uint64_t After = std::stoull(Message.Query.at("after"));
  const std::int64_t Until = nowMs() + std::stoll(Message.Query.at("waitMs"));
  std::unique_lock Lock(Mutex);
  json::array Events;
  while (true) {
    for (const change &Change : History) {
      if (Change.Revision <= After || !Change.Key.starts_with(Prefix)) {
        continue;
      }
      if (Change.IsRemoved) {
        Events.push_back(json::object{{"key", Change.Key},
                                      {"revision", Change.Revision},
                                      {"removed", true}});
      } else {
        Events.push_back(json::object{{"key", Change.Key},
                                      {"value", Change.Item.Value},
                                      {"revision", Change.Item.Revision},
                                      {"created", Change.Item.Created},
                                      {"lease", Change.Item.Lease}});
      }
    }
    if (!Events.empty() || nowMs() >= Until || IsEnding) {
      return {200, json::serialize(
                       json::object{{"events", Events}, {"at", Revision}})};
    }
    Changed.wait_for(Lock, std::chrono::milliseconds(Until - nowMs()));
  }
}

http_reply store::transact(const http_message &Message) {
  const json::value Body = json::parse(Message.Body);
  for (const json::value &Row : Body.at("precondition").as_array()) {
    const auto Found = Items.find(std::string(Row.at("key").as_string()));
    const std::uint64_t Current =
        Found == Items.end() ? 0 : Found->second.Revision;
    if (Row.at("revision").to_number<std::uint64_t>() != Current) {
      return {412, R"({"items":[]})"};
    }
  }
  for (const json::value &Row : Body.at("setKeys").as_array()) {
    const auto Lease = Row.at("lease").to_number<std::uint64_t>();
    if (Lease != 0 && !Leases.contains(Lease)) {
      return {404, "{}"};
    }
    set(std::string(Row.at("key").as_string()),
        std::string(Row.at("value").as_string()), Lease);
  }
  for (const json::value &Row : Body.at("deleteKeys").as_array()) {
    erase(std::string(Row.as_string()));
  }
  return {200, json::serialize(json::object{{"revision", Revision}})};
}

} // namespace standin
