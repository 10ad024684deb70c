#include "world.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <unistd.h>

namespace standin {

namespace {
std::mt19937_64 &randomNumbers() {
  static std::mt19937_64 Numbers(std::random_device{}());
  return Numbers;
}
std::mutex RandomMutex;
} // namespace

world::world(const std::string &Folder, std::size_t Machines,
             std::size_t WorkerCount, const std::vector<std::string> &Zones) {
  std::signal(SIGPIPE, SIG_IGN);
  Network = "127." + std::to_string(20 + randomNumbers()() % 200) + "." +
            std::to_string(1 + randomNumbers()() % 250) + ".";
  Store = std::make_unique<store>(Network + "200");
  Store->write("op/config", configuration(7, "desk"));
  for (std::size_t Index = 0; Index < WorkerCount; ++Index) {
    Workers.push_back(
        std::make_unique<worker>(Network + "201", "w" + std::to_string(Index),
                                 Zones[Index % Zones.size()], *Store, Log));
  }
  const int PeerPort = freePort(Network + "1");
  for (std::size_t Index = 0; Index < Machines; ++Index) {
    Hosts.push_back(std::make_unique<host>(
        "front-" + std::to_string(Index + 1), Zones[Index % Zones.size()],
        Network + std::to_string(Index + 1), PeerPort, *Store, Folder));
    Hosts.back()->launch();
  }
  const std::int64_t Until = nowMs() + 15'000;
  for (const auto &Host : Hosts) {
    while (!Host->isReady()) {
      if (nowMs() > Until) {
        record(Host->name() + " isn't ready");
        for (const auto &Other : Hosts) {
          Other->end();
        }
        std::_Exit(2);
      }
      sleepMs(50);
    }
  }
  record("all machines are ready");
}

std::size_t world::runningCount() {
  std::map<std::string, int> Open;
  for (const run_event &Event : Log.all()) {
    Open[Event.Worker + Event.Task + "/" + std::to_string(Event.Run)] +=
        Event.What == "start" ? 1 : -1;
  }
  std::size_t Count = 0;
  for (const auto &[Run, Number] : Open) {
    Count += Number > 0 ? 1 : 0;
  }
  return Count;
}

std::string jobBody(int Tasks, int RunMs, int Cpu) {
  return "{\"specification\":\"run " + std::to_string(RunMs) +
         "\",\"bestEffort\":true,\"steps\":[{\"count\":" +
         std::to_string(Tasks) + ",\"cpu\":" + std::to_string(Cpu) +
         ",\"memMb\":64,\"estimatedMs\":" + std::to_string(RunMs) + "}]}";
}

http_answer submit(const host &Host, const std::string &Id,
                   const std::string &Body, int LimitMs) {
  return call(Host.front(), "POST", "/desk/" + Id, Body,
              {"Host: desk.example",
               "Remaining-Milliseconds: " + std::to_string(LimitMs)},
              LimitMs);
}

http_answer cancel(const host &Host, const std::string &Id) {
  return call(Host.front(), "DELETE", "/desk/" + Id, "",
              {"Host: desk.example", "Remaining-Milliseconds: 1500"}, 1500);
}

std::string newId() {
  const std::lock_guard Lock(RandomMutex);
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%016llx",
                static_cast<unsigned long long>(randomNumbers()()));
  return Text;
}

std::string show(const http_answer &Answer) {
  return Answer.Status == 0 ? "no answer"
                            : std::to_string(Answer.Status) + " " + Answer.Body;
}

} // namespace standin
