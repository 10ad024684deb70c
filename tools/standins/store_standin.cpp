/// Stand-in for the platform's store: a subset of the etcd v3 JSON API, with
/// faults to order.
///
/// POST /admin/faults takes any of `down` (every call fails with 503 and does
/// nothing, open watches end), `slow_ms` (every answer is late by this),
/// `lose_writes` (so many of the next writes take effect and are not answered)
/// and `late_writes_ms` (writes take effect only after this, and are not
/// answered). POST /admin/cut_watches ends the open watches,
/// /admin/silence_watches keeps them open without a word, /admin/restore
/// `{"revision":N}` goes back to an earlier state. GET /admin/calls counts the
/// calls by path.
#include "base/clock.h"
#include "base/log.h"
#include "base/signals.h"
#include "base/thread.h"
#include "core/json_reader.h"
#include "core/json_text.h"
#include "net/http_server.h"
#include "standins/key_space.h"

#include <condition_variable>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <tclap/CmdLine.h>

using namespace tarragonbridge;
using standins::key_range;
using standins::key_space;

namespace {
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;
constexpr milliseconds ProgressInterval{1'000};

struct faults {
  bool Down = false;
  milliseconds Slow{};
  std::uint32_t LoseWrites = 0;
  milliseconds LateWrites{};
};

/// An open watch.
struct watch {
  key_range Range;
  std::int64_t Next = 0; ///< first revision that was not told yet
  bool Progress = false;
  bool Silent = false;
};

http_response jsonResponse(const Json::Value &Body) {
  return {200, writeJson(Body), {}, "application/json"};
}

http_response errorResponse(int Status, const std::string &Message) {
  return {Status,
          R"({"error":)" + quoteJson(Message) + "}",
          {},
          "application/json"};
}

using operation = Json::Value (key_space::*)(const Json::Value &);
const std::map<std::string, operation, std::less<>> Writes{
    {"/v3/kv/put", &key_space::put},
    {"/v3/kv/deleterange", &key_space::deleteRange},
    {"/v3/kv/txn", &key_space::transact},
    {"/v3/kv/compaction", &key_space::compact},
};

class store_standin {
public:
  explicit store_standin(const http_server_init &Init) : Server(Init) {}
  ~store_standin() {
    {
      const std::lock_guard Lock(Mutex);
      Stopping = true;
    }
    Ready.notify_one();
    Thread.join();
  }
  store_standin(const store_standin &) = delete;
  store_standin &operator=(const store_standin &) = delete;

  result<void> start() {
    Thread = posix_thread("store-timers", [this] { runTimers(); });
    return Server.start([this](request_handle Handle, http_request &&Request) {
      const std::lock_guard Lock(Mutex);
      onRequest(Handle, Request);
    });
  }

private:
  void onRequest(request_handle Handle, const http_request &Request) {
    const json_document Document(Request.Body.empty() ? "{}" : Request.Body,
                                 json_comments::Refused);
    if (!Document.isValid() || !Document.root().isObject()) {
      Server.respond(Handle, errorResponse(StatusBadRequest, "not JSON"));
    } else if (Request.Path.starts_with("/admin/")) {
      Server.respond(Handle, administer(Request.Path, Document.root()));
    } else {
      ++Calls[Request.Path];
      onCall(Handle, Request.Path, Document.root());
    }
  }

  void onCall(request_handle Handle, const std::string &Path,
              const Json::Value &Body) {
    if (Faults.Down) {
      Server.respond(Handle, errorResponse(StatusUnavailable, "down"));
    } else if (Path == "/v3/kv/range") {
      answer(Handle, jsonResponse(Keys.range(Body)));
    } else if (Path == "/v3/watch") {
      openWatch(Handle, Body["create_request"]);
    } else if (const std::string Unknown =
                   Path == "/v3/kv/txn" ? key_space::findUnknown(Body) : "";
               !Unknown.empty()) {
      Server.respond(
          Handle, errorResponse(StatusBadRequest, "unknown here: " + Unknown));
    } else if (const auto Write = Writes.find(Path); Write != Writes.end()) {
      onWrite(Handle, Write->second, Body);
    } else {
      Server.respond(Handle, errorResponse(StatusNotFound, "no such call"));
    }
  }

  void onWrite(request_handle Handle, operation Write,
               const Json::Value &Body) {
    if (Faults.LateWrites > milliseconds::zero()) {
      schedule(Faults.LateWrites, [this, Write, Body] {
        (Keys.*Write)(Body);
        tellWatches();
      });
      return;
    }
    const Json::Value Answer = (Keys.*Write)(Body);
    tellWatches();
    if (Faults.LoseWrites != 0) {
      --Faults.LoseWrites;
      return;
    }
    answer(Handle, jsonResponse(Answer));
  }

  void answer(request_handle Handle, http_response Response) {
    if (Faults.Slow == milliseconds::zero()) {
      Server.respond(Handle, std::move(Response));
      return;
    }
    schedule(Faults.Slow, [this, Handle, Response = std::move(Response)] {
      Server.respond(Handle, Response);
    });
  }

  void openWatch(request_handle Handle, const Json::Value &Create) {
    watch Watch;
    Watch.Range = standins::readKeyRange(Create);
    const Json::Value &Start = Create["start_revision"];
    Watch.Next = Start.isString() ? std::strtoll(Start.asCString(), nullptr, 10)
                                  : Start.asInt64();
    Watch.Next = Watch.Next == 0 ? Keys.revision() + 1 : Watch.Next;
    Watch.Progress = Create.get("progress_notify", false).asBool();
    Json::Value Message;
    Message["result"]["header"] = Keys.header();
    Message["result"]["created"] = true;
    std::string Head = writeJson(Message) + "\n";
    if (Watch.Next <= Keys.compactRevision()) {
      Message["result"].removeMember("created");
      Message["result"]["canceled"] = true;
      Message["result"]["compact_revision"] =
          std::to_string(Keys.compactRevision());
      Server.respond(Handle, {200, Head + writeJson(Message) + "\n", {}});
      return;
    }
    Server.beginStream(Handle, {200, std::move(Head), {}});
    tellWatch(Handle, Watches[Handle] = Watch);
  }

  void tellWatch(request_handle Handle, watch &Watch) {
    if (Watch.Silent) {
      return;
    }
    const Json::Value Events = Keys.changesSince(Watch.Range, Watch.Next);
    Watch.Next = std::max(Watch.Next, Keys.revision() + 1);
    if (Events.empty()) {
      return;
    }
    Json::Value Message;
    Message["result"]["header"] = Keys.header();
    Message["result"]["events"] = Events;
    Server.writeStream(Handle, writeJson(Message) + "\n");
  }

  void tellWatches() {
    for (auto &[Handle, Watch] : Watches) {
      tellWatch(Handle, Watch);
    }
  }

  void tellProgress() {
    Json::Value Message;
    Message["result"]["header"] = Keys.header();
    const std::string Line = writeJson(Message) + "\n";
    std::erase_if(Watches, [&](const auto &Entry) {
      const bool Tells = Entry.second.Progress && !Entry.second.Silent;
      return Tells && !Server.writeStream(Entry.first, Line);
    });
  }

  http_response administer(const std::string &Path, const Json::Value &Body) {
    if (Path == "/admin/calls") {
      Json::Value Answer(Json::objectValue);
      for (const auto &[Call, Count] : Calls) {
        Answer[Call] = Json::UInt64(Count);
      }
      return jsonResponse(Answer);
    }
    if (Path == "/admin/faults") {
      setFaults(Body);
    } else if (Path == "/admin/cut_watches") {
      cutWatches();
    } else if (Path == "/admin/silence_watches") {
      for (auto &[Handle, Watch] : Watches) {
        Watch.Silent = true;
      }
    } else if (Path == "/admin/restore") {
      Keys.restore(Body.get("revision", 1).asInt64());
    } else {
      return errorResponse(StatusNotFound, "no such call");
    }
    return jsonResponse(Json::Value(Json::objectValue));
  }

  void setFaults(const Json::Value &Body) {
    Faults.Down = Body.get("down", false).asBool();
    Faults.Slow = milliseconds(Body.get("slow_ms", 0).asInt64());
    Faults.LoseWrites = Body.get("lose_writes", 0).asUInt();
    Faults.LateWrites = milliseconds(Body.get("late_writes_ms", 0).asInt64());
    if (Faults.Down) {
      cutWatches();
    }
  }

  void cutWatches() {
    for (const auto &[Handle, Watch] : Watches) {
      Server.endStream(Handle);
    }
    Watches.clear();
  }

  /// Runs a function later, with Mutex held.
  void schedule(milliseconds Delay, std::function<void()> Action) {
    Timers.emplace(bootNow() + Delay, std::move(Action));
    Ready.notify_one();
  }

  void runTimers() {
    std::unique_lock Lock(Mutex);
    boot_time NextProgress = bootNow() + ProgressInterval;
    while (!Stopping) {
      const boot_time Due = Timers.empty()
                                ? NextProgress
                                : std::min(NextProgress, Timers.begin()->first);
      Ready.wait_for(Lock, Due - bootNow());
      while (!Timers.empty() && Timers.begin()->first <= bootNow()) {
        const auto Action = std::move(Timers.extract(Timers.begin()).mapped());
        Action();
      }
      if (bootNow() >= NextProgress) {
        tellProgress();
        NextProgress = bootNow() + ProgressInterval;
      }
    }
  }

  std::mutex Mutex;
  std::condition_variable Ready;
  key_space Keys;                                         ///< guarded by Mutex
  std::map<std::string, std::uint64_t> Calls;             ///< guarded by Mutex
  faults Faults;                                          ///< guarded by Mutex
  std::map<request_handle, watch> Watches;                ///< guarded by Mutex
  std::multimap<boot_time, std::function<void()>> Timers; ///< guarded by Mutex
  bool Stopping = false;                                  ///< guarded by Mutex
  posix_thread Thread;
  http_server Server;
};
} // namespace

int main(int Argc, char **Argv) {
  TCLAP::CmdLine Line("Stand-in for the platform's store.", ' ', "0.1.0");
  const TCLAP::ValueArg<std::string> Listen("l", "listen", "IP and port", true,
                                            "", "ADDR", Line);
  Line.parse(Argc, Argv);
  blockTerminationSignals();
  initLog({"store_standin"});
  http_server_init Init;
  Init.Listen = Listen.getValue();
  store_standin Store(Init);
  return tryOr(
      [&]() -> result<int> {
        BOOST_LEAF_CHECK(Store.start());
        waitForTerminationSignal();
        return 0;
      },
      [](const error &Error) {
        std::cerr << Error.Peer << ": " << Error.Message << '\n';
        return 2;
      });
}
