/// Stand-in of the platform's store.
#pragma once

#include "net.h"

#include <boost/json.hpp>

#include <optional>

namespace review {

namespace json = boost::json;

inline std::string encodeBase64(const std::string &Text) {
  constexpr const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Encoded;
  for (std::size_t Index = 0; Index < Text.size(); Index += 3) {
    std::uint32_t Group = 0;
    for (std::size_t Byte = 0; Byte < 3; ++Byte) {
      Group =
          (Group << 8U) | (Index + Byte < Text.size()
                               ? static_cast<unsigned char>(Text[Index + Byte])
                               : 0U);
    }
    for (std::size_t Digit = 0; Digit < 4; ++Digit) {
      Encoded += Index + Digit > Text.size()
                     ? '='
                     : Digits[(Group >> (18 - 6 * Digit)) & 63U];
    }
  }
  return Encoded;
}

/// @returns the value of a field of a query, percent-decoded
inline std::string queryField(const std::string &Path,
                              const std::string &Name) {
  std::size_t At = Path.find('?');
  while (At != std::string::npos) {
    const std::size_t End = std::min(Path.find('&', At + 1), Path.size());
    const std::string Field = Path.substr(At + 1, End - At - 1);
    if (Field.starts_with(Name + "=")) {
      std::string Value;
      for (std::size_t Index = Name.size() + 1; Index < Field.size(); ++Index) {
        if (Field[Index] == '%') {
          Value += static_cast<char>(
              std::stoi(Field.substr(Index + 1, 2), nullptr, 16));
          Index += 2;
        } else {
          Value += Field[Index];
        }
      }
      return Value;
    }
    At = End == Path.size() ? std::string::npos : End;
  }
  return "";
}

class store {
public:
  explicit store(loop &Loop) : Loop(Loop) {}

  bool start(const std::string &Address) {
    Loop.after(100, [this] { expireLeases(); });
    return Loop.listen(Address, [this](const connection_ptr &Caller,
                                       const http_message &Request) {
      handle(Caller, Request);
    });
  }

  void write(const std::string &Key, const std::string &Value64,
             std::uint64_t Lease = 0) {
    item &Item = Items[Key];
    Item.Revision = ++Revision;
    Item.Created = Item.Created == 0 ? Revision : Item.Created;
    Item.Value64 = Value64;
    Item.Lease = Lease;
    publish(Key, describe(Key, Item));
  }
  void remove(const std::string &Key) {
    if (Items.erase(Key) > 0) {
      ++Revision;
      publish(Key, json::object{{"key", Key},
                                {"revision", Revision},
                                {"removed", true}});
    }
  }
  bool contains(const std::string &Key) const { return Items.contains(Key); }

private:
  struct item {
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::string Value64;
    std::uint64_t Lease = 0;
  };
  struct lease {
    double Ttl = 0;
    double EndsAt = 0;
  };
  struct watcher {
    std::string Prefix;
    std::uint64_t After = 0;
    connection_ptr Caller;
  };

  static json::object describe(const std::string &Key, const item &Item) {
    return {{"key", Key},
            {"value", Item.Value64},
            {"revision", Item.Revision},
            {"created", Item.Created},
            {"lease", Item.Lease}};
  }

  void publish(const std::string &Key, json::object Event) {
    History.emplace_back(Revision, Key, std::move(Event));
    for (auto Entry = Watchers.begin(); Entry != Watchers.end();) {
      if (Key.starts_with(Entry->second.Prefix)) {
        answerWatch(Entry->second);
        Entry = Watchers.erase(Entry);
      } else {
        ++Entry;
      }
    }
  }

  void answerWatch(const watcher &Watcher) {
    json::array Events;
    for (auto Entry = History.rbegin(); Entry != History.rend(); ++Entry) {
      const auto &[At, Key, Event] = *Entry;
      if (At <= Watcher.After) {
        break;
      }
      if (Key.starts_with(Watcher.Prefix)) {
        Events.insert(Events.begin(), Event);
      }
    }
    Watcher.Caller->respond(
        200, json::serialize(json::object{{"events", std::move(Events)},
                                          {"at", Revision}}));
  }

  void expireLeases() {
    const double Now = nowMs();
    std::vector<std::uint64_t> Ended;
    for (const auto &[Id, Lease] : Leases) {
      if (Lease.EndsAt <= Now) {
        Ended.push_back(Id);
      }
    }
    for (const std::uint64_t Id : Ended) {
      endLease(Id);
    }
    Loop.after(100, [this] { expireLeases(); });
  }

  void endLease(std::uint64_t Id) {
    Leases.erase(Id);
    std::vector<std::string> Keys;
    for (const auto &[Key, Item] : Items) {
      if (Item.Lease == Id) {
        Keys.push_back(Key);
      }
    }
    for (const std::string &Key : Keys) {
      remove(Key);
    }
  }

  void handle(const connection_ptr &Caller, const http_message &Request) {
    const std::string Path = Request.Path.substr(0, Request.Path.find('?'));
    const auto Id = [&Path] {
      return std::stoull(Path.substr(Path.rfind('/') + 1));
    };
    if (Path == "/-/kv-key") {
      const std::string Key = queryField(Request.Path, "key");
      const auto Found = Items.find(Key);
      if (Found == Items.end()) {
        return Caller->respond(404, "{}");
      }
      json::object Body = describe(Key, Found->second);
      Body["at"] = Revision;
      return Caller->respond(200, json::serialize(Body));
    }
    if (Path == "/-/kv-range") {
      return range(*Caller, queryField(Request.Path, "prefix"),
                   queryField(Request.Path, "after"));
    }
    if (Path == "/-/kv-watch") {
      return watch(Caller, Request.Path);
    }
    if (Path == "/-/kv-txn") {
      return transact(*Caller, Request.Body);
    }
    if (Path == "/-/kv-lease") {
      const double Ttl =
          json::parse(Request.Body).at("ttlMs").to_number<double>();
      Leases[++LastLease] = {Ttl, nowMs() + Ttl};
      return Caller->respond(200, json::serialize(json::object{
                                      {"lease", LastLease}, {"ttlMs", Ttl}}));
    }
    if (Path.starts_with("/-/kv-keep/")) {
      const auto Found = Leases.find(Id());
      if (Found == Leases.end()) {
        return Caller->respond(404, "{}");
      }
      Found->second.EndsAt = nowMs() + Found->second.Ttl;
      return Caller->respond(
          200, json::serialize(json::object{{"ttlMs", Found->second.Ttl}}));
    }
    if (Path.starts_with("/-/kv-lease-end/")) {
      endLease(Id());
      return Caller->respond(200, "{}");
    }
    Caller->respond(404, "{}");
  }

  void range(connection &Caller, const std::string &Prefix,
             const std::string &After) {
    json::array Found;
    for (const auto &[Key, Item] : Items) {
      if (Key.starts_with(Prefix) && Key > After) {
        Found.push_back(describe(Key, Item));
      }
    }
    Caller.respond(200, json::serialize(json::object{{"items", Found},
                                                     {"truncated", false},
                                                     {"at", Revision}}));
  }

  void watch(const connection_ptr &Caller, const std::string &Path) {
    const watcher Watcher{queryField(Path, "prefix"),
                          std::stoull(queryField(Path, "after")), Caller};
    for (auto Entry = History.rbegin(); Entry != History.rend(); ++Entry) {
      if (std::get<0>(*Entry) <= Watcher.After) {
        break;
      }
      if (std::get<1>(*Entry).starts_with(Watcher.Prefix)) {
        return answerWatch(Watcher);
      }
    }
    const std::uint64_t Number = ++LastWatcher;
    Watchers[Number] = Watcher;
    Loop.after(std::stod(queryField(Path, "waitMs")), [this, Number] {
      const auto Found = Watchers.find(Number);
      if (Found != Watchers.end()) {
        answerWatch(Found->second);
        Watchers.erase(Found);
      }
    });
  }

  void transact(connection &Caller, const std::string &Text) {
    const json::value Body = json::parse(Text);
    json::array Current;
    bool Holds = true;
    for (const json::value &Row : Body.at("precondition").as_array()) {
      const std::string Key(Row.at("key").as_string());
      const auto Found = Items.find(Key);
      const std::uint64_t Is =
          Found == Items.end() ? 0 : Found->second.Revision;
      Holds = Holds && Is == Row.at("revision").to_number<std::uint64_t>();
      if (Found != Items.end()) {
        Current.push_back(describe(Key, Found->second));
      }
    }
    if (!Holds) {
      return Caller.respond(412,
                            json::serialize(json::object{{"items", Current}}));
    }
    for (const json::value &Put : Body.at("setKeys").as_array()) {
      const auto Lease = Put.at("lease").to_number<std::uint64_t>();
      if (Lease != 0 && !Leases.contains(Lease)) {
        return Caller.respond(404, "{}");
      }
    }
    for (const json::value &Put : Body.at("setKeys").as_array()) {
      write(std::string(Put.at("key").as_string()),
            std::string(Put.at("value").as_string()),
            Put.at("lease").to_number<std::uint64_t>());
    }
    for (const json::value &Key : Body.at("deleteKeys").as_array()) {
      remove(std::string(Key.as_string()));
    }
    Caller.respond(200, json::serialize(json::object{{"revision", Revision}}));
  }

  loop &Loop;
  std::uint64_t Revision = 100;
  std::uint64_t LastLease = 1'000;
  std::uint64_t LastWatcher = 0;
  std::map<std::string, item> Items;
  std::map<std::uint64_t, lease> Leases;
  std::map<std::uint64_t, watcher> Watchers;
  std::vector<std::tuple<std::uint64_t, std::string, json::object>> History;
};

} // namespace review
