#include "standins/key_space.h"

#include "base/codec.h"

#include <algorithm>
#include <set>

namespace tarragonbridge::standins {

namespace {
std::string decodeField(const Json::Value &Object, const char *Name) {
  return decodeBase64(Object.get(Name, "").asString()).value_or("");
}

std::int64_t numberField(const Json::Value &Object, const char *Name) {
  const Json::Value &Value = Object[Name];
  return Value.isString() ? std::strtoll(Value.asCString(), nullptr, 10)
                          : Value.asInt64();
}

bool isWrite(const Json::Value &Operation) {
  return Operation.isMember("request_put") ||
         Operation.isMember("request_delete_range");
}
} // namespace

key_range readKeyRange(const Json::Value &Request) {
  return {decodeField(Request, "key"), decodeField(Request, "range_end")};
}

Json::Value key_space::header() const {
  Json::Value Header;
  Header["revision"] = std::to_string(Revision);
  return Header;
}

Json::Value key_space::describeEntry(const std::string &Key,
                                     const stored_value &Stored) {
  Json::Value Entry;
  Entry["key"] = encodeBase64(Key);
  Entry["mod_revision"] = std::to_string(Stored.ModRevision);
  if (Stored.Version != 0) {
    Entry["value"] = encodeBase64(Stored.Value);
    Entry["create_revision"] = std::to_string(Stored.CreateRevision);
    Entry["version"] = std::to_string(Stored.Version);
  }
  return Entry;
}

Json::Value key_space::range(const Json::Value &Request) const {
  const key_range Range = readKeyRange(Request);
  Json::Value Answer;
  Answer["header"] = header();
  Json::Value &Values = Answer["kvs"] = Json::Value(Json::arrayValue);
  for (auto At = Stored.lower_bound(Range.Key);
       At != Stored.end() && Range.holds(At->first); ++At) {
    Values.append(describeEntry(At->first, At->second));
  }
  Answer["count"] = std::to_string(Values.size());
  return Answer;
}

Json::Value key_space::put(const Json::Value &Request) {
  ++Revision;
  apply(Request);
  Json::Value Answer;
  Answer["header"] = header();
  return Answer;
}

Json::Value key_space::deleteRange(const Json::Value &Request) {
  ++Revision;
  return erase(readKeyRange(Request));
}

namespace {
std::string findOtherName(const Json::Value &Object,
                          const std::set<std::string> &Known) {
  for (const std::string &Name : Object.getMemberNames()) {
    if (!Known.contains(Name)) {
      return Name;
    }
  }
  return "";
}
} // namespace

std::string key_space::findUnknown(const Json::Value &Transaction) {
  static const std::set<std::string> Parts{"compare", "success", "failure"};
  static const std::set<std::string> Operations{
      "request_put", "request_delete_range", "request_range"};
  static const std::set<std::string> Targets{"VALUE", "VERSION", "CREATE",
                                             "MOD"};
  std::string Unknown = findOtherName(Transaction, Parts);
  for (const char *Branch : {"success", "failure"}) {
    for (const Json::Value &Operation : Transaction[Branch]) {
      Unknown =
          Unknown.empty() ? findOtherName(Operation, Operations) : Unknown;
    }
  }
  for (const Json::Value &Compare : Transaction["compare"]) {
    const std::string Target = Compare["target"].asString();
    if (Unknown.empty() && !Targets.contains(Target)) {
      Unknown = "target " + Target;
    }
  }
  return Unknown;
}

Json::Value key_space::transact(const Json::Value &Request) {
  const Json::Value &Compares = Request["compare"];
  const bool Holds =
      std::all_of(Compares.begin(), Compares.end(),
                  [this](const Json::Value &C) { return compareHolds(C); });
  const Json::Value &Branch = Request[Holds ? "success" : "failure"];
  Revision += std::any_of(Branch.begin(), Branch.end(), isWrite) ? 1 : 0;
  Json::Value Answer;
  Json::Value &Responses = Answer["responses"] = Json::Value(Json::arrayValue);
  for (const Json::Value &Operation : Branch) {
    Responses.append(applyOperation(Operation));
  }
  Answer["header"] = header();
  Answer["succeeded"] = Holds;
  return Answer;
}

Json::Value key_space::compact(const Json::Value &Request) {
  Compacted = std::max(Compacted, numberField(Request, "revision"));
  Json::Value Answer;
  Answer["header"] = header();
  return Answer;
}

void key_space::restore(std::int64_t Earlier) {
  std::erase_if(Changes, [&](const change &Change) {
    return Change.After.ModRevision > Earlier;
  });
  Stored.clear();
  for (const change &Change : Changes) {
    if (Change.After.Version == 0) {
      Stored.erase(Change.Key);
    } else {
      Stored[Change.Key] = Change.After;
    }
  }
  Revision = Earlier;
  Compacted = std::min(Compacted, Earlier);
}

Json::Value key_space::changesSince(const key_range &Range,
                                    std::int64_t Start) const {
  Json::Value Events(Json::arrayValue);
  for (const change &Change : Changes) {
    if (Change.After.ModRevision < Start || !Range.holds(Change.Key)) {
      continue;
    }
    Json::Value Event;
    if (Change.After.Version == 0) {
      Event["type"] = "DELETE";
    }
    Event["kv"] = describeEntry(Change.Key, Change.After);
    Events.append(std::move(Event));
  }
  return Events;
}

void key_space::apply(const Json::Value &Put) {
  const std::string Key = decodeField(Put, "key");
  stored_value &Entry = Stored[Key];
  Entry.Value = decodeField(Put, "value");
  Entry.ModRevision = Revision;
  Entry.CreateRevision = Entry.Version == 0 ? Revision : Entry.CreateRevision;
  ++Entry.Version;
  Changes.push_back({Key, Entry});
}

Json::Value key_space::erase(const key_range &Range) {
  std::size_t Count = 0;
  for (auto At = Stored.lower_bound(Range.Key);
       At != Stored.end() && Range.holds(At->first); ++Count) {
    Changes.push_back({At->first, {"", 0, Revision, 0}});
    At = Stored.erase(At);
  }
  Json::Value Answer;
  Answer["header"] = header();
  Answer["deleted"] = std::to_string(Count);
  return Answer;
}

Json::Value key_space::applyOperation(const Json::Value &Operation) {
  Json::Value Response;
  if (Operation.isMember("request_put")) {
    apply(Operation["request_put"]);
    Response["response_put"]["header"] = header();
  } else if (Operation.isMember("request_delete_range")) {
    Response["response_delete_range"] =
        erase(readKeyRange(Operation["request_delete_range"]));
  } else if (Operation.isMember("request_range")) {
    Response["response_range"] = range(Operation["request_range"]);
  }
  return Response;
}

bool key_space::compareHolds(const Json::Value &Compare) const {
  const auto Found = Stored.find(decodeField(Compare, "key"));
  const stored_value Entry =
      Found == Stored.end() ? stored_value{} : Found->second;
  const std::string Target = Compare["target"].asString();
  if (Target == "VALUE") {
    return Entry.Value == decodeField(Compare, "value");
  }
  if (Target == "VERSION") {
    return Entry.Version == numberField(Compare, "version");
  }
  if (Target == "CREATE") {
    return Entry.CreateRevision == numberField(Compare, "create_revision");
  }
  return Entry.ModRevision == numberField(Compare, "mod_revision");
}

} // namespace tarragonbridge::standins
