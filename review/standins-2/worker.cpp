#include "worker.h"

#include <algorithm>
#include <boost/json.hpp>

namespace standin {

namespace json = boost::json;

namespace {
constexpr std::int64_t LongestLeaseMs = 1'000; // bounds.holdMaxMs
constexpr std::int64_t HeartbeatMs = 1'500;

std::int64_t numberOf(const json::value &Body, const char *Name) {
  const json::value *Value = Body.as_object().if_contains(Name);
  return Value == nullptr ? 0 : Value->to_number<std::int64_t>();
}

std::string textOf(const json::value &Body, const char *Name) {
  return std::string(Body.at(Name).as_string());
}

/// The specification of the stand-ins' clients holds "cpu" and "work", so that
/// a worker knows what a task needs.
std::int64_t specified(const std::string &Specification,
                       const std::string &Name) {
  const std::size_t At = Specification.find(Name + "=");
  return At == std::string::npos
             ? 0
             : std::stoll(Specification.substr(At + Name.size() + 1));
}
} // namespace

std::size_t run_log::begin(run_entry Entry) {
  const std::lock_guard Lock(Mutex);
  Entries.push_back(std::move(Entry));
  return Entries.size() - 1;
}

void run_log::end(std::size_t Index, const std::string &How) {
  const std::lock_guard Lock(Mutex);
  Entries[Index].EndedAt = nowMs();
  Entries[Index].How = How;
}

std::vector<run_entry> run_log::entries() {
  const std::lock_guard Lock(Mutex);
  return Entries;
}

worker::worker(worker_init Given, store &Store, run_log &Runs, record &Record)
    : Init(std::move(Given)), Store(Store), Runs(Runs), Record(Record) {
  Worker = std::thread([this] { work(); });
}

void worker::begin(std::int64_t ClockAheadMs) {
  using namespace std::chrono;
  {
    const std::lock_guard Lock(Mutex);
    ++Life;
    LifeBeganAt = nowMs();
    Born = duration_cast<milliseconds>(system_clock::now().time_since_epoch())
               .count() +
           ClockAheadMs;
    Sequence = 0;
    Holds = 0;
    Token = 0;
    Deadline = 0;
    LastNumber = 0;
    Running.clear();
    Ends.clear();
    HighestEnded.clear();
    IsDraining = false;
    IsUp = true;
    Server = std::make_unique<http_server>(
        [this](const http_message &Message) { return handle(Message); });
  }
  if (Port == 0) {
    Port = freePort();
  }
  while (!Server->start(Port)) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  const std::lock_guard Lock(Mutex);
  Port = Server->port();
  Record.line("worker " + Init.Id + " begins life " + std::to_string(Life) +
              ", cpu " + std::to_string(Init.Cpu) + ", born " +
              std::to_string(Born));
  publish();
}

void worker::crash() {
  std::unique_ptr<http_server> Old;
  {
    const std::lock_guard Lock(Mutex);
    if (!IsUp) {
      return;
    }
    IsUp = false;
    Record.line("worker " + Init.Id + " crashes");
    for (const running_task &Task : Running) {
      Runs.end(Task.LogIndex, "crashed");
      Record.line(Init.Id + " lost " + Task.Task + " run " +
                  std::to_string(Task.Run));
    }
    Running.clear();
    Old = std::move(Server);
  }
  Ended.notify_all();
  Old->stop();
  // Its connections' threads may still use it.
  static std::vector<std::unique_ptr<http_server>> Retired;
  static std::mutex RetiredMutex;
  const std::lock_guard Lock(RetiredMutex);
  Retired.push_back(std::move(Old));
}

void worker::drain() {
  const std::lock_guard Lock(Mutex);
  IsDraining = true;
  publish();
  Record.line("worker " + Init.Id + " reports draining, the store accepted it");
}

std::int64_t worker::holds() {
  const std::lock_guard Lock(Mutex);
  return Holds;
}

void worker::publish() {
  PublishedAt = nowMs();
  json::object Item{
      {"service", Init.Service},
      {"address", "127.0.0.1:" + std::to_string(Port)},
      {"zone", Init.Zone},
      {"version", "v1"},
      {"slots", 8},
      {"state", IsDraining ? "draining" : "ready"},
      {"coldMs", 0},
      {"capacity",
       json::object{{"cpu", Init.Cpu}, {"memMb", Init.MemMb}, {"gpu", 0}}},
      {"labels", json::array{Init.Kind, Init.Rack}},
      {"clockMs", clock()},
      {"sequence", ++Sequence},
      {"born", Born}};
  if (IsDraining) {
    Item["remainingMs"] = 2'000;
  }
  Store.put("servers/" + Init.Id, json::serialize(Item));
}

void worker::finish(std::size_t Index, const std::string &How) {
  const running_task Task = Running[Index];
  Running.erase(Running.begin() + static_cast<std::ptrdiff_t>(Index));
  std::int64_t &Highest = HighestEnded[Task.Task];
  Highest = std::max(Highest, Task.Run);
  Ends.push_back({++LastNumber, Task.Task, Task.Run, How});
  Runs.end(Task.LogIndex, How);
  Record.line(Init.Id + " ended " + Task.Task + " run " +
              std::to_string(Task.Run) + " " + How);
  Ended.notify_all();
}

void worker::advance() {
  const std::int64_t Now = nowMs();
  for (std::size_t Index = Running.size(); Index-- > 0;) {
    const running_task &Task = Running[Index];
    if (Task.EndsAt <= Now) {
      finish(Index, "done");
    } else if (Task.StopsAt != 0 && Task.StopsAt <= Now) {
      finish(Index, "stopped");
    }
  }
  while (!Running.empty() && clock() >= Deadline) {
    finish(0, "lapsed");
  }
}

void worker::work() {
  std::unique_lock Lock(Mutex);
  while (true) {
    if (IsUp) {
      advance();
      if (nowMs() - PublishedAt >= HeartbeatMs) {
        publish();
      }
    }
    Ended.wait_for(Lock, std::chrono::milliseconds(1));
  }
}

http_reply worker::refuse(const std::string &Reason) {
  return {409, json::serialize(
                   json::object{{"clockMs", clock()}, {"reason", Reason}})};
}

http_reply worker::accept() {
  return {200, json::serialize(json::object{{"clockMs", clock()}})};
}

void worker::prolong(std::int64_t Until) {
  Deadline = std::max(Deadline, std::min(Until, clock() + LongestLeaseMs));
}

http_reply worker::handle(const http_message &Message) {
  const auto Instance = Message.Headers.find("expected-instance");
  if (Instance != Message.Headers.end() && Instance->second != Init.Id) {
    return {421, "{}"};
  }
  if (Message.Path == "/-/hold") {
    return hold(Message);
  }
  const std::lock_guard Lock(Mutex);
  if (!IsUp) {
    return {0, ""};
  }
  advance();
  if (Message.Path == "/-/run-start") {
    return start(Message);
  }
  if (Message.Path == "/-/run-stop") {
    return stop(Message);
  }
  return {Message.Path == "/health" ? 200 : 404, "{}"};
}

bool worker::isFenced(const http_message &Message) {
  const json::value Body = json::parse(Message.Body);
  const json::value *Value = Body.as_object().if_contains("fencingToken");
  const std::uint64_t Given =
      Value == nullptr ? 0 : Value->to_number<std::uint64_t>();
  if (Given < Token) {
    return true;
  }
  Token = Given;
  return false;
}

http_reply worker::start(const http_message &Message) {
  const json::value Body = json::parse(Message.Body);
  const std::string Task = textOf(Body, "task");
  const std::int64_t Run = numberOf(Body, "run");
  const std::int64_t Until = numberOf(Body, "deadlineMs");
  if (isFenced(Message)) {
    return refuse("fence");
  }
  if (Until <= clock()) {
    return refuse("late");
  }
  prolong(Until);
  for (const running_task &There : Running) {
    if (There.Task == Task && There.Run == Run) {
      return accept();
    }
  }
  const auto Highest = HighestEnded.find(Task);
  if (Highest != HighestEnded.end() && Run <= Highest->second) {
    return refuse("old");
  }
  const std::string Specification = textOf(Body, "specification");
  const std::int64_t Work = specified(Specification, "work");
  const std::int64_t Cpu = specified(Specification, "cpu");
  const std::int64_t Now = nowMs();
  const std::size_t LogIndex =
      Runs.begin({Init.Id, Task, Run, Cpu, Now, 0, ""});
  Running.push_back(
      {Task, Run,
       Now + static_cast<std::int64_t>(static_cast<double>(Work) / Init.Speed),
       0, LogIndex});
  Record.line(Init.Id + " starts " + Task + " run " + std::to_string(Run) +
              " (" + Specification + ")");
  return accept();
}

http_reply worker::stop(const http_message &Message) {
  const json::value Body = json::parse(Message.Body);
  const std::string Task = textOf(Body, "task");
  const std::int64_t Run = numberOf(Body, "run");
  if (isFenced(Message)) {
    return refuse("fence");
  }
  for (running_task &There : Running) {
    if (There.Task == Task && There.Run == Run) {
      if (There.StopsAt == 0) {
        There.StopsAt = nowMs() + Init.StopMs;
      }
      return accept();
    }
  }
  std::int64_t &Highest = HighestEnded[Task];
  Highest = std::max(Highest, Run);
  return accept();
}

http_reply worker::hold(const http_message &Message) {
  const json::value Body = json::parse(Message.Body);
  const std::int64_t LastSeen = numberOf(Body, "lastSeen");
  std::unique_lock Lock(Mutex);
  if (!IsUp) {
    return {0, ""};
  }
  advance();
  ++Holds;
  if (isFenced(Message)) {
    return refuse("fence");
  }
  if (Body.as_object().contains("deadlineMs")) {
    prolong(numberOf(Body, "deadlineMs"));
  }
  std::erase_if(Ends,
                [&](const ended_task &End) { return End.Number <= LastSeen; });
  const std::int64_t Until = nowMs() + numberOf(Body, "waitMs");
  const std::int64_t OwnLife = Life;
  while (Ends.empty() && nowMs() < Until && IsUp && Life == OwnLife) {
    Ended.wait_for(Lock, std::chrono::milliseconds(Until - nowMs()));
  }
  if (!IsUp || Life != OwnLife) {
    return {0, ""};
  }
  json::array RunningRows;
  for (const running_task &Task : Running) {
    RunningRows.push_back(json::array{Task.Task, Task.Run, "", 100});
  }
  json::array EndRows;
  for (const ended_task &End : Ends) {
    EndRows.push_back(json::array{End.Number, End.Task, End.Run, End.How, ""});
  }
  return {200, json::serialize(json::object{{"clockMs", clock()},
                                            {"running", RunningRows},
                                            {"ended", EndRows},
                                            {"born", Born}})};
}

} // namespace standin
