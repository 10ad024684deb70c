/// Stand-in of a worker, as the platform's page "Running tasks" tells.
#pragma once

#include "store.h"

#include <algorithm>

namespace review {

/// What the checks see: a run begins or ends at a worker.
struct run_event {
  bool IsStart = false;
  std::string Worker;
  std::string Task;
  std::uint32_t Run = 0;
  std::string How;
};

struct worker_init {
  std::string Id;
  std::string Address;
  std::string Zone;
  std::string Rack;
  std::string Service;
  std::int64_t CpuMilli = 16'000;
  double Speed = 1;
};

class worker {
public:
  using recorder = std::function<void(const run_event &)>;
  /// @returns the work of a task in milliseconds
  using work_of = std::function<double(const std::string &)>;

  worker(loop &Loop, store &Store, worker_init Given, recorder Record,
         work_of WorkOf)
      : Loop(Loop), Store(Store), Init(std::move(Given)),
        Record(std::move(Record)), WorkOf(std::move(WorkOf)) {}

  bool start() {
    beginLife();
    return Loop.listen(Init.Address, [this](const connection_ptr &Caller,
                                            const http_message &Request) {
      handle(Caller, Request);
    });
  }

  /// The next start of a task of a second or more gets no answer and is carried
  /// out some time later.
  void delayNextStart(double Ms) { DelayMs = Ms; }
  bool hasDelayedStart() const { return DelayedStart.has_value(); }
  const std::string &id() const { return Init.Id; }

  /// Ends all that runs. The worker is back after a time under the same id,
  /// and knows nothing of before.
  void crash(double DownMs) {
    IsDown = true;
    for (const run &Run : std::exchange(Running, {})) {
      Record({false, Init.Id, Run.Task, Run.Run, "crashed"});
    }
    for (const auto &[Number, Hold] : std::exchange(Waiting, {})) {
      Hold.Caller->end();
    }
    Loop.after(DownMs, [this] { beginLife(); });
  }

private:
  struct run {
    std::string Task;
    std::uint32_t Run = 0;
  };
  struct end {
    std::uint64_t Number = 0;
    run Of;
    std::string How;
  };
  struct waiting_hold {
    connection_ptr Caller;
    std::uint64_t LastSeen = 0;
  };

  std::int64_t clock() const {
    return static_cast<std::int64_t>(nowMs() - Born);
  }

  void beginLife() {
    ++Life;
    IsDown = false;
    Born = nowMs();
    timespec Time{};
    clock_gettime(CLOCK_REALTIME, &Time);
    BornWallMs = Time.tv_sec * 1'000 + Time.tv_nsec / 1'000'000;
    Sequence = 0;
    HighestToken = 0;
    LeaseEnd = 0;
    HighestEnded.clear();
    Ends.clear();
    LastNumber = 0;
    heartbeat(Life);
  }

  void heartbeat(int OfLife) {
    if (OfLife != Life || IsDown) {
      return;
    }
    const json::object Entry{
        {"service", Init.Service},
        {"address", Init.Address},
        {"zone", Init.Zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"coldMs", 0},
        {"capacity",
         json::object{{"cpu", Init.CpuMilli}, {"memMb", 65'536}, {"gpu", 0}}},
        {"labels", json::array{"a", Init.Rack}},
        {"clockMs", clock()},
        {"sequence", ++Sequence},
        {"born", BornWallMs}};
    Store.write("servers/" + Init.Id, encodeBase64(json::serialize(Entry)));
    Loop.after(1'500, [this, OfLife] { heartbeat(OfLife); });
  }

  void handle(const connection_ptr &Caller, const http_message &Request) {
    if (IsDown) {
      return Caller->end();
    }
    const auto Expected = Request.Headers.find("expected-instance");
    if (Expected != Request.Headers.end() && Expected->second != Init.Id) {
      return Caller->respond(421, "{}");
    }
    if (Request.Path == "/health") {
      return Caller->respond(200, "{}");
    }
    const json::value Body = json::parse(Request.Body);
    if (DelayMs > 0 && Request.Path == "/-/run-start" &&
        WorkOf(std::string(Body.at("task").as_string())) >= 1'000) {
      DelayedStart = Body;
      Loop.after(std::exchange(DelayMs, 0), [this, Request] {
        handle(std::make_shared<connection>(), Request);
      });
      return;
    }
    const auto *Token = Body.as_object().if_contains("fencingToken");
    const std::uint64_t Given =
        Token == nullptr ? 0 : Token->to_number<std::uint64_t>();
    if (Given < HighestToken) {
      return refuse(*Caller, "fence");
    }
    HighestToken = Given;
    if (Request.Path == "/-/run-start") {
      startRun(*Caller, Body);
    } else if (Request.Path == "/-/run-stop") {
      stopRun(*Caller, Body);
    } else if (Request.Path == "/-/hold") {
      hold(Caller, Body);
    } else {
      Caller->respond(404, "{}");
    }
  }

  void refuse(connection &Caller, const char *Reason) const {
    Caller.respond(409, json::serialize(json::object{{"clockMs", clock()},
                                                     {"reason", Reason}}));
  }
  void accept(connection &Caller) const {
    Caller.respond(200, json::serialize(json::object{{"clockMs", clock()}}));
  }

  /// Prolongs the lease of all that runs, to holdMaxMs at most.
  void prolong(std::int64_t Deadline) {
    constexpr std::int64_t HoldMaxMs = 1'000;
    const std::int64_t Until = std::min(Deadline, clock() + HoldMaxMs);
    if (Until > LeaseEnd) {
      LeaseEnd = Until;
      Loop.after(static_cast<double>(Until - clock()) + 1,
                 [this] { checkLease(); });
    }
  }
  void checkLease() {
    while (clock() >= LeaseEnd && !Running.empty()) {
      endRun(run(Running.front()), "lapsed");
    }
  }

  void startRun(connection &Caller, const json::value &Body) {
    const run Run{std::string(Body.at("task").as_string()),
                  Body.at("run").to_number<std::uint32_t>()};
    const auto Deadline = Body.at("deadlineMs").to_number<std::int64_t>();
    if (Deadline <= clock()) {
      return refuse(Caller, "late");
    }
    prolong(Deadline);
    const bool IsThere =
        std::any_of(Running.begin(), Running.end(), [&](const run &Other) {
          return Other.Task == Run.Task && Other.Run == Run.Run;
        });
    if (!IsThere) {
      const auto Ended = HighestEnded.find(Run.Task);
      if (Ended != HighestEnded.end() && Run.Run <= Ended->second) {
        return refuse(Caller, "old");
      }
      Running.push_back(Run);
      Record({true, Init.Id, Run.Task, Run.Run, ""});
      Loop.after(WorkOf(Run.Task) / Init.Speed, [this, Run, OfLife = Life] {
        if (OfLife == Life) {
          endRun(Run, "done");
        }
      });
    }
    accept(Caller);
  }

  void stopRun(connection &Caller, const json::value &Body) {
    const run Run{std::string(Body.at("task").as_string()),
                  Body.at("run").to_number<std::uint32_t>()};
    std::uint32_t &Highest = HighestEnded[Run.Task];
    Highest = std::max(Highest, Run.Run);
    endRun(Run, "stopped");
    accept(Caller);
  }

  void endRun(const run &Run, const std::string &How) {
    const auto Found =
        std::find_if(Running.begin(), Running.end(), [&](const run &Other) {
          return Other.Task == Run.Task && Other.Run == Run.Run;
        });
    if (Found == Running.end()) {
      return;
    }
    Running.erase(Found);
    std::uint32_t &Highest = HighestEnded[Run.Task];
    Highest = std::max(Highest, Run.Run);
    Ends.push_back({++LastNumber, Run, How});
    Record({false, Init.Id, Run.Task, Run.Run, How});
    const std::map<std::uint64_t, waiting_hold> Holds =
        std::exchange(Waiting, {});
    for (const auto &[Number, Hold] : Holds) {
      answerHold(Hold);
    }
  }

  void hold(const connection_ptr &Caller, const json::value &Body) {
    const json::object &Fields = Body.as_object();
    if (const auto *Deadline = Fields.if_contains("deadlineMs")) {
      prolong(Deadline->to_number<std::int64_t>());
    }
    const auto LastSeen = Body.at("lastSeen").to_number<std::uint64_t>();
    std::erase_if(Ends, [&](const end &End) { return End.Number <= LastSeen; });
    const auto *Wait = Fields.if_contains("waitMs");
    if (Wait == nullptr || !Ends.empty()) {
      return answerHold({Caller, LastSeen});
    }
    const std::uint64_t Number = ++LastHold;
    Waiting[Number] = {Caller, LastSeen};
    Loop.after(Wait->to_number<double>(), [this, Number] {
      const auto Found = Waiting.find(Number);
      if (Found != Waiting.end()) {
        const waiting_hold Hold = Found->second;
        Waiting.erase(Found);
        answerHold(Hold);
      }
    });
  }

  void answerHold(const waiting_hold &Hold) {
    json::array Rows;
    for (const run &Run : Running) {
      Rows.push_back(json::array{Run.Task, Run.Run, "", 100, 1'000});
    }
    json::array Ended;
    for (const end &End : Ends) {
      if (End.Number > Hold.LastSeen) {
        Ended.push_back(
            json::array{End.Number, End.Of.Task, End.Of.Run, End.How, ""});
      }
    }
    Hold.Caller->respond(
        200, json::serialize(json::object{{"clockMs", clock()},
                                          {"born", BornWallMs},
                                          {"running", std::move(Rows)},
                                          {"ended", std::move(Ended)}}));
  }

  loop &Loop;
  store &Store;
  worker_init Init;
  recorder Record;
  work_of WorkOf;
  double Born = 0;
  int Life = 0;
  bool IsDown = false;
  double DelayMs = 0;
  std::optional<json::value> DelayedStart;
  std::int64_t BornWallMs = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t HighestToken = 0;
  std::int64_t LeaseEnd = 0;
  std::vector<run> Running;
  std::map<std::string, std::uint32_t> HighestEnded;
  std::vector<end> Ends;
  std::uint64_t LastNumber = 0;
  std::map<std::uint64_t, waiting_hold> Waiting;
  std::uint64_t LastHold = 0;
};

} // namespace review
