/// Stand-in for a target: runs tasks as timers, under leases.
#include "base/clock.h"
#include "base/log.h"
#include "base/signals.h"
#include "base/thread.h"
#include "core/json_reader.h"
#include "core/json_text.h"
#include "net/http_server.h"

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <tclap/CmdLine.h>

using namespace tarragonbridge;

namespace {
constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;
constexpr microseconds IdleWait{1'000'000};

http_response respondJson(int Status, const Json::Value &Body) {
  return {Status, writeJson(Body), {}, "application/json"};
}

struct attempt_key {
  std::string Task;
  std::uint32_t Attempt = 0;
  bool operator<(const attempt_key &Other) const {
    return std::tie(Task, Attempt) < std::tie(Other.Task, Other.Attempt);
  }
};

struct running_task {
  request_handle Request{};
  boot_time EndsAt;
  boot_time LeaseEndsAt;
  std::string Output;
  std::uint32_t Cores = 0;
  std::uint64_t MemoryMb = 0;
};

struct target_init {
  http_server_init Server;
  std::size_t Slots = 8;
  double Speed = 1;
  milliseconds UsageLag{500};
  std::string Record; ///< file of starts and ends, empty: none
};

/// What the target does wrong on demand, set by POST /admin/mode.
struct target_mode {
  bool FailAll = false;
  bool Leaving = false;
  bool DropReplies = false; ///< runs tasks and never answers
};

class target_standin {
public:
  explicit target_standin(const target_init &Init)
      : Init(Init), Server(Init.Server) {
    if (!Init.Record.empty()) {
      Record.open(Init.Record, std::ios::app);
    }
    Thread = posix_thread("tasks", [this] { run(); });
  }
  ~target_standin() {
    {
      const std::lock_guard Lock(Mutex);
      Stopping = true;
    }
    Changed.notify_one();
  }
  target_standin(const target_standin &) = delete;
  target_standin &operator=(const target_standin &) = delete;

  result<void> start() {
    return Server.start([this](request_handle Handle, http_request &&Request) {
      const std::lock_guard Lock(Mutex);
      handle(Handle, Request);
    });
  }

private:
  void handle(request_handle Handle, const http_request &Request) {
    endDueTasks(); // a lease that is over can't be renewed after a pause
    if (Request.Path == "/v1/usage") {
      Server.respond(Handle, respondJson(StatusOk, usage()));
      return;
    }
    const json_document Document(Request.Body, json_comments::Refused);
    if (!Document.isValid()) {
      Server.respond(Handle, respondJson(StatusBadRequest, Json::Value()));
    } else if (Request.Path == "/v1/tasks") {
      startTask(Handle, Document);
    } else if (Request.Path == "/v1/stop") {
      Server.respond(Handle, respondJson(StatusOk, stopTask(Document.root())));
    } else if (Request.Path == "/v1/leases/renew") {
      Server.respond(Handle, respondJson(StatusOk, renew(Document.root())));
    } else if (Request.Path == "/admin/mode") {
      Mode.FailAll = Document.root().get("fail_all", Mode.FailAll).asBool();
      Mode.Leaving = Document.root().get("leaving", Mode.Leaving).asBool();
      Mode.DropReplies =
          Document.root().get("drop_replies", Mode.DropReplies).asBool();
      Server.respond(Handle,
                     respondJson(StatusOk, Json::Value(Json::objectValue)));
    } else {
      Server.respond(Handle, respondJson(StatusNotFound, Json::Value()));
    }
  }

  void refuse(request_handle Handle, int Status, const char *Reason) {
    Json::Value Body;
    Body["not_run"] = true;
    Body["reason"] = Reason;
    Server.respond(Handle, respondJson(Status, Body));
  }

  void startTask(request_handle Handle, const json_document &Document) {
    const Json::Value &Root = Document.root();
    const attempt_key Key{Root["task"].asString(), Root["attempt"].asUInt()};
    if (Mode.Leaving || Stopped.contains(Key)) {
      refuse(Handle, StatusUnavailable, Mode.Leaving ? "leaving" : "lapsed");
      return;
    }
    if (Running.size() >= Init.Slots) {
      refuse(Handle, StatusTooManyRequests, "full");
      return;
    }
    writeRecord("start", Key);
    const Json::Value &Payload = Root["payload"];
    const double RunMs =
        Mode.FailAll ? 0 : Payload["run_ms"].asDouble() / Init.Speed;
    running_task Task;
    Task.Request = Handle;
    const boot_time Now = bootNow();
    Task.EndsAt = Now + std::chrono::duration_cast<microseconds>(
                            std::chrono::duration<double, std::milli>(RunMs));
    Task.LeaseEndsAt = Now + milliseconds(Root["lease_ms"].asInt64());
    Task.Output = Payload.isMember("echo")
                      ? std::string(Document.textOf(Payload["echo"]))
                      : "null";
    Task.Cores = Root["cores"].asUInt();
    Task.MemoryMb = Root["memory_mb"].asUInt64();
    Running.insert_or_assign(Key, Task);
    Changed.notify_one();
  }

  Json::Value stopTask(const Json::Value &Root) {
    const attempt_key Key{Root["task"].asString(), Root["attempt"].asUInt()};
    Json::Value Answer;
    const auto Found = Running.find(Key);
    if (Found != Running.end()) {
      end(Key, Found->second, "stopped");
      Running.erase(Found);
      Answer["state"] = "stopped";
    } else if (Ended.contains(Key)) {
      Answer["state"] = "ended";
    } else {
      Stopped.insert(Key);
      Answer["state"] = "unseen";
    }
    return Answer;
  }

  Json::Value renew(const Json::Value &Root) {
    const boot_time Until =
        bootNow() + milliseconds(Root["lease_ms"].asInt64());
    Json::Value Answer;
    Json::Value &Lapsed = Answer["lapsed"] = Json::Value(Json::arrayValue);
    for (const Json::Value &Pair : Root["tasks"]) {
      const attempt_key Key{Pair[0].asString(), Pair[1].asUInt()};
      const auto Found = Running.find(Key);
      if (Found == Running.end()) {
        Lapsed.append(Pair);
      } else {
        Found->second.LeaseEndsAt = Until;
      }
    }
    return Answer;
  }

  Json::Value usage() {
    const boot_time Now = bootNow();
    if (Now - UsageAt >= Init.UsageLag) {
      UsageAt = Now;
      Usage["as_of_ms"] = Json::Int64(wallNow().time_since_epoch().count());
      Usage["running"] = Json::UInt64(Running.size());
      Usage["slots"] = Json::UInt64(Init.Slots);
      std::uint64_t Cores = 0;
      std::uint64_t MemoryMb = 0;
      for (const auto &[Key, Task] : Running) {
        Cores += Task.Cores;
        MemoryMb += Task.MemoryMb;
      }
      Usage["cores_used"] = Json::UInt64(Cores);
      Usage["memory_mb_used"] = Json::UInt64(MemoryMb);
      Usage["state"] = Mode.Leaving ? "leaving" : "live";
    }
    return Usage;
  }

  void writeRecord(const char *What, const attempt_key &Key) {
    if (Record.is_open()) {
      Record << "at_ms=" << wallNow().time_since_epoch().count()
             << " event=" << What << " task=" << Key.Task
             << " attempt=" << Key.Attempt << std::endl;
    }
  }

  /// Answers and records the end of a task.
  void end(const attempt_key &Key, const running_task &Task, const char *How) {
    writeRecord(How, Key);
    Ended.insert(Key);
    if (Mode.DropReplies) {
      return;
    }
    const bool IsDone = std::string_view(How) == "done";
    Json::Value Body;
    Body["task"] = Key.Task;
    Body["attempt"] = Key.Attempt;
    Body["state"] = IsDone ? "done" : "failed";
    if (!IsDone) {
      Body["error"] = How;
    }
    std::string Text = writeJson(Body);
    if (IsDone) {
      Text.back() = ',';
      Text += R"("output":{"echo":)" + Task.Output + "}}";
    }
    Server.respond(Task.Request, {StatusOk, Text, {}, "application/json"});
  }

  /// Ends what is due. @returns when the next task is due
  boot_time endDueTasks() {
    const boot_time Now = bootNow();
    boot_time Next = Now + IdleWait;
    for (auto At = Running.begin(); At != Running.end();) {
      const boot_time Due = std::min(At->second.EndsAt, At->second.LeaseEndsAt);
      if (Due > Now) {
        Next = std::min(Next, Due);
        ++At;
        continue;
      }
      const bool HasLapsed = At->second.LeaseEndsAt < At->second.EndsAt;
      const char *How = HasLapsed ? "lapsed" : "done";
      end(At->first, At->second, Mode.FailAll ? "failed" : How);
      At = Running.erase(At);
    }
    return Next;
  }

  void run() {
    std::unique_lock Lock(Mutex);
    while (!Stopping) {
      const boot_time Next = endDueTasks();
      Changed.wait_for(Lock, Next - bootNow());
    }
  }

  target_init Init;
  std::mutex Mutex; ///< guards all below
  std::condition_variable Changed;
  std::map<attempt_key, running_task> Running;
  std::set<attempt_key> Ended;
  std::set<attempt_key> Stopped;
  target_mode Mode;
  Json::Value Usage;
  boot_time UsageAt;
  std::ofstream Record;
  bool Stopping = false;
  http_server Server;
  posix_thread Thread;
};

target_init parseArguments(int Argc, char **Argv) {
  TCLAP::CmdLine Line("Stand-in for a target.", ' ', "0.1.0");
  const TCLAP::ValueArg<std::string> Listen("l", "listen", "IP and port", true,
                                            "", "ADDR", Line);
  const TCLAP::ValueArg<unsigned> Slots("s", "slots", "tasks at a time", false,
                                        8, "N", Line);
  const TCLAP::ValueArg<double> Speed("f", "speed", "run_ms is divided by it",
                                      false, 1, "F", Line);
  const TCLAP::ValueArg<std::string> Record(
      "r", "record", "file of starts and ends", false, "", "FILE", Line);
  Line.parse(Argc, Argv);
  target_init Init;
  Init.Server.Listen = Listen.getValue();
  Init.Slots = Slots.getValue();
  Init.Speed = Speed.getValue();
  Init.Record = Record.getValue();
  return Init;
}
} // namespace

int main(int Argc, char **Argv) {
  const target_init Init = parseArguments(Argc, Argv);
  blockTerminationSignals();
  initLog({"target_standin"});
  target_standin Target(Init);
  return tryOr(
      [&]() -> result<int> {
        BOOST_LEAF_CHECK(Target.start());
        waitForTerminationSignal();
        return 0;
      },
      [](const error &Error) {
        std::cerr << Error.Peer << ": " << Error.Message << '\n';
        return 2;
      });
}
