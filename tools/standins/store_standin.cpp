/// Stand-in for the platform's store: a subset of the etcd v3 JSON API.
#include "base/codec.h"
#include "base/log.h"
#include "base/signals.h"
#include "core/json_reader.h"
#include "core/json_text.h"
#include "net/http_server.h"

#include <iostream>
#include <map>
#include <mutex>
#include <tclap/CmdLine.h>

using namespace tarragonbridge;

namespace {
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;

struct stored_value {
  std::string Value;
  std::int64_t CreateRevision = 0;
  std::int64_t ModRevision = 0;
  std::int64_t Version = 0;
};

std::string decodeField(const Json::Value &Object, const char *Name) {
  return decodeBase64(Object.get(Name, "").asString()).value_or("");
}

/// The keys, with the revisions of the published API.
class key_space {
public:
  Json::Value range(const Json::Value &Request) const {
    const std::string Key = decodeField(Request, "key");
    const std::string End = decodeField(Request, "range_end");
    Json::Value Answer;
    Answer["header"] = header();
    Json::Value &Values = Answer["kvs"] = Json::Value(Json::arrayValue);
    for (auto At = Stored.lower_bound(Key); At != Stored.end(); ++At) {
      const bool IsInside = End.empty() ? At->first == Key : At->first < End;
      if (!IsInside) {
        break;
      }
      Values.append(describeEntry(At->first, At->second));
    }
    Answer["count"] = std::to_string(Values.size());
    return Answer;
  }

  Json::Value put(const Json::Value &Request) {
    ++Revision;
    apply(Request);
    Json::Value Answer;
    Answer["header"] = header();
    return Answer;
  }

  Json::Value transact(const Json::Value &Request) {
    bool Holds = true;
    for (const Json::Value &Compare : Request["compare"]) {
      Holds = Holds && compareHolds(Compare);
    }
    const Json::Value &Branch = Request[Holds ? "success" : "failure"];
    for (const Json::Value &Operation : Branch) {
      if (Operation.isMember("request_put") ||
          Operation.isMember("request_delete_range")) {
        ++Revision;
        break;
      }
    }
    Json::Value Answer;
    Json::Value &Responses = Answer["responses"] =
        Json::Value(Json::arrayValue);
    for (const Json::Value &Operation : Branch) {
      Responses.append(applyOperation(Operation));
    }
    Answer["header"] = header();
    Answer["succeeded"] = Holds;
    return Answer;
  }

private:
  Json::Value header() const {
    Json::Value Header;
    Header["revision"] = std::to_string(Revision);
    return Header;
  }

  static Json::Value describeEntry(const std::string &Key,
                                   const stored_value &Stored) {
    Json::Value Entry;
    Entry["key"] = encodeBase64(Key);
    Entry["value"] = encodeBase64(Stored.Value);
    Entry["create_revision"] = std::to_string(Stored.CreateRevision);
    Entry["mod_revision"] = std::to_string(Stored.ModRevision);
    Entry["version"] = std::to_string(Stored.Version);
    return Entry;
  }

  void apply(const Json::Value &Put) {
    stored_value &Entry = Stored[decodeField(Put, "key")];
    Entry.Value = decodeField(Put, "value");
    Entry.ModRevision = Revision;
    Entry.CreateRevision = Entry.Version == 0 ? Revision : Entry.CreateRevision;
    ++Entry.Version;
  }

  Json::Value applyOperation(const Json::Value &Operation) {
    Json::Value Response;
    if (Operation.isMember("request_put")) {
      apply(Operation["request_put"]);
      Response["response_put"]["header"] = header();
    } else if (Operation.isMember("request_delete_range")) {
      const std::string Key =
          decodeField(Operation["request_delete_range"], "key");
      Response["response_delete_range"]["deleted"] =
          std::to_string(Stored.erase(Key));
    } else if (Operation.isMember("request_range")) {
      Response["response_range"] = range(Operation["request_range"]);
    }
    return Response;
  }

  bool compareHolds(const Json::Value &Compare) const {
    const auto Found = Stored.find(decodeField(Compare, "key"));
    const stored_value Entry =
        Found == Stored.end() ? stored_value{} : Found->second;
    const std::string Target = Compare["target"].asString();
    if (Target == "VALUE") {
      return Entry.Value == decodeField(Compare, "value");
    }
    const bool IsVersion = Target == "VERSION";
    const std::int64_t Have = IsVersion            ? Entry.Version
                              : Target == "CREATE" ? Entry.CreateRevision
                                                   : Entry.ModRevision;
    const char *Name = IsVersion            ? "version"
                       : Target == "CREATE" ? "create_revision"
                                            : "mod_revision";
    return std::to_string(Have) == Compare.get(Name, "0").asString();
  }

  std::map<std::string, stored_value> Stored;
  std::int64_t Revision = 1;
};

class store_standin {
public:
  explicit store_standin(const http_server_init &Init) : Server(Init) {}

  result<void> start() {
    return Server.start([this](request_handle Handle, http_request &&Request) {
      Server.respond(Handle, answer(Request));
    });
  }

private:
  http_response answer(const http_request &Request) {
    const std::lock_guard Lock(Mutex);
    if (Request.Path == "/admin/calls") {
      Json::Value Answer(Json::objectValue);
      for (const auto &[Path, Count] : Calls) {
        Answer[Path] = Json::UInt64(Count);
      }
      return {200, writeJson(Answer), {}, "application/json"};
    }
    ++Calls[Request.Path];
    const json_document Document(Request.Body, json_comments::Refused);
    if (!Document.isValid()) {
      return {
          StatusBadRequest, R"({"error":"not JSON"})", {}, "application/json"};
    }
    if (Request.Path == "/v3/kv/range") {
      return {
          200, writeJson(Keys.range(Document.root())), {}, "application/json"};
    }
    if (Request.Path == "/v3/kv/put") {
      return {
          200, writeJson(Keys.put(Document.root())), {}, "application/json"};
    }
    if (Request.Path == "/v3/kv/txn") {
      return {200,
              writeJson(Keys.transact(Document.root())),
              {},
              "application/json"};
    }
    return {
        StatusNotFound, R"({"error":"no such call"})", {}, "application/json"};
  }

  std::mutex Mutex;
  key_space Keys;                             ///< guarded by Mutex
  std::map<std::string, std::uint64_t> Calls; ///< guarded by Mutex
  http_server Server;
};
} // namespace

int main(int Argc, char **Argv) {
  TCLAP::CmdLine Line("Stand-in for the platform's store.", ' ', "0.1.0");
  const TCLAP::ValueArg<std::string> Listen("l", "listen", "IP and port", true,
                                            "", "ADDR", Line);
  Line.parse(Argc, Argv);
  blockEndSignals();
  initLog("store_standin");
  http_server_init Init;
  Init.Listen = Listen.getValue();
  store_standin Store(Init);
  return tryOr(
      [&]() -> result<int> {
        BOOST_LEAF_CHECK(Store.start());
        waitForEndSignal();
        return 0;
      },
      [](const error &Error) {
        std::cerr << Error.Peer << ": " << Error.Message << '\n';
        return 2;
      });
}
