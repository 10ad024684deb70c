/// A small deployment for the cases of the review: the platform's store,
/// workers and clients in this process, entry hosts as processes of their own.
#pragma once

#include "worker.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

struct world_init {
  std::string Root;   ///< of the repository
  std::string Folder; ///< of the case, for record.txt
  int Hosts = 3;
  std::vector<int> Workers = {2, 6, 6}; ///< of each zone
  /// Of each host in new channels: a hash of the client selects it.
  std::vector<std::size_t> Shares = {3, 1, 1};
  std::uint64_t Seed = 1;
};

/// One kind of job; all its tasks are alike.
struct job_kind {
  std::string Prefix;
  int Tasks = 1;
  std::int64_t CpuMilli = 1'000;
  double WorkMs = 200;
  double LimitMs = 8'000;
  std::size_t SpecificationBytes = 200;
};

class world {
public:
  explicit world(const world_init &Given)
      : Init(Given), Store(Loop), Random(Given.Seed),
        Record(Given.Folder + "/record.txt") {
    char Name[] = "/tmp/review-XXXXXX";
    Temporary = mkdtemp(Name);
    StartedAt = nowMs();
  }
  ~world() {
    for (host &Host : Hosts) {
      endProcess(Host);
    }
    std::filesystem::remove_all(Temporary);
  }

  loop &events() { return Loop; }
  double elapsedMs() const { return nowMs() - StartedAt; }
  void note(const std::string &Line) {
    char Time[32];
    std::snprintf(Time, sizeof(Time), "%10.1f ", elapsedMs());
    Record << Time << Line << "\n";
  }
  void noteBroken(const std::string &Rule, const std::string &What) {
    ++Broken[Rule];
    note("BROKEN " + Rule + ": " + What);
  }
  std::size_t brokenCount(const std::string &Rule) const {
    const auto Found = Broken.find(Rule);
    return Found == Broken.end() ? 0 : Found->second;
  }

  /// Starts everything. @returns whether all hosts became ready
  bool start() {
    const std::string Network = "127." + std::to_string(64 + getpid() % 128) +
                                "." + std::to_string(1 + getpid() / 128 % 250) +
                                ".";
    const std::string PlatformIp = Network + "7";
    StoreAddress = PlatformIp + ":" + std::to_string(freePort(PlatformIp));
    if (!Store.start(StoreAddress)) {
      return false;
    }
    writeConfiguration();
    startWorkers(Network);
    startHosts(Network);
    return runUntil(
        [this] {
          return std::all_of(Hosts.begin(), Hosts.end(), [](const host &Host) {
            return Host.IsInRotation;
          });
        },
        15'000);
  }

  bool runUntil(const std::function<bool()> &IsReached, double WithinMs) {
    const double Until = nowMs() + WithinMs;
    while (!IsReached()) {
      if (nowMs() >= Until) {
        return false;
      }
      Loop.runOnce();
    }
    return true;
  }
  void runFor(double Ms) {
    runUntil([] { return false; }, Ms);
  }

  void signal(std::size_t Host, int Number) {
    note("signal " + std::to_string(Number) + " to " + Hosts[Host].Name);
    kill(Hosts[Host].Process, Number);
  }
  const std::vector<std::unique_ptr<worker>> &workers() const {
    return Workers;
  }
  bool isInRotation(std::size_t Host) const { return Hosts[Host].IsInRotation; }

  /// Clients that hand in jobs of a kind from now on; 0 ends them. A part of
  /// them leaves within LeaveMs and hands the job in again.
  void setTraffic(const job_kind &Kind, double PerSecond, double LeavePart = 0,
                  double LeaveMs = 0) {
    traffic &Traffic = Traffics[Kind.Prefix];
    const bool IsRunning = Traffic.PerSecond > 0;
    Traffic = {Kind, PerSecond, LeavePart, LeaveMs};
    if (!IsRunning && PerSecond > 0) {
      submitNext(Kind.Prefix);
    }
  }

  std::string figures() const {
    std::string Text = "jobs " + std::to_string(Jobs.size());
    for (const auto &[Answer, Count] : Answers) {
      Text += ", " + Answer + " " + std::to_string(Count);
    }
    return Text + ", starts " + std::to_string(Starts);
  }

  /// Sends a request of a client. OnAnswer gets the status, 0 if the channel
  /// ended without an answer, -1 if the client left.
  connection_ptr request(const std::string &Address, const std::string &Method,
                         const std::string &Path, const std::string &Body,
                         double LimitMs, std::function<void(int)> OnAnswer) {
    const connection_ptr Channel = Loop.connect(Address);
    auto Once = std::make_shared<std::function<void(int)>>(std::move(OnAnswer));
    const auto Answer = [Once](int Status) {
      if (*Once) {
        const auto Function = std::exchange(*Once, nullptr);
        Function(Status);
      }
    };
    Channel->OnData = [Answer](connection &Entry) {
      http_message Message;
      if (takeMessage(Entry.In, Message)) {
        Entry.end();
        Answer(Message.Status);
      }
    };
    Channel->OnClose = [Answer](connection &) { Answer(0); };
    Channel->Out =
        Method + " " + Path + " HTTP/1.1\r\nHost: desk.example\r\n" +
        "Content-Type: application/json\r\nRemaining-Milliseconds: " +
        std::to_string(static_cast<int>(LimitMs)) +
        "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
        Body;
    Loop.after(LimitMs, [Channel, Answer] {
      Channel->end();
      Answer(-1);
    });
    return Channel;
  }

  static std::string bodyOf(const job_kind &Kind) {
    return json::serialize(json::object{
        {"specification", std::string(Kind.SpecificationBytes, 's')},
        {"bestEffort", true},
        {"steps", json::array{json::object{{"count", Kind.Tasks},
                                           {"cpu", Kind.CpuMilli},
                                           {"memMb", 64},
                                           {"estimatedMs", Kind.WorkMs}}}}});
  }
  std::string newId(const job_kind &Kind) {
    char Text[17];
    std::snprintf(Text, sizeof(Text), "%016llx",
                  static_cast<unsigned long long>(Random()));
    Jobs[Text].Kind = Kind;
    return Text;
  }

private:
  struct host {
    std::string Name;
    std::string Front;
    std::string Ready;
    std::string Control;
    pid_t Process = 0;
    bool IsInRotation = false;
    int Misses = 0;
  };
  struct job {
    job_kind Kind;
    int Submissions = 0;
    std::optional<std::size_t> Host; ///< of the latest submission
  };
  struct traffic {
    job_kind Kind;
    double PerSecond = 0;
    double LeavePart = 0;
    double LeaveMs = 0;
  };

  void writeConfiguration() {
    json::array Routes;
    for (const char *Name : {"quick", "long"}) {
      Routes.push_back(json::object{{"name", Name},
                                    {"host", "desk.example"},
                                    {"prefix", "/" + std::string(Name) + "/"},
                                    {"kind", "unsafe"},
                                    {"timeoutMs", 10'000},
                                    {"targetDurationMs", 60},
                                    {"priority", 1},
                                    {"service", "desk"},
                                    {"maxAttempts", 2},
                                    {"stretch", 1.6}});
    }
    const json::object Service{
        {"name", "desk"},        {"healthPath", "/health"},
        {"connectionLimit", 64}, {"protocol", "h1"},
        {"tls", false},          {"admissionCheck", false},
        {"spare", false}};
    const json::object Limits{{"maxHeaderBytes", 16'384},
                              {"maxBodyBytes", 262'144},
                              {"headerTimeoutMs", 3'000},
                              {"idleTimeoutMs", 15'000}};
    Store.write("op/config", encodeBase64(json::serialize(json::object{
                                 {"version", 7},
                                 {"routes", Routes},
                                 {"services", json::array{Service}},
                                 {"limits", Limits}})));
  }

  void startWorkers(const std::string &Network) {
    std::vector<int> Zones;
    for (int Zone = 0; Zone < Init.Hosts; ++Zone) {
      Zones.insert(Zones.end(),
                   static_cast<std::size_t>(
                       Init.Workers[static_cast<std::size_t>(Zone)]),
                   Zone);
    }
    for (std::size_t Index = 0; Index < Zones.size(); ++Index) {
      const std::string Ip = Network + "100";
      worker_init Worker;
      Worker.Id = "i-" + std::to_string(1'000 + Index);
      Worker.Address = Ip + ":" + std::to_string(freePort(Ip));
      Worker.Zone = zoneOf(Zones[Index]);
      Worker.Rack = "r" + std::to_string(Index / 6);
      Worker.Service = "desk";
      Workers.push_back(std::make_unique<worker>(
          Loop, Store, Worker,
          [this](const run_event &Event) { noteRun(Event); },
          [this](const std::string &Task) {
            const auto Found = Jobs.find(Task.substr(0, Task.find('.')));
            return Found == Jobs.end() ? 100.0 : Found->second.Kind.WorkMs;
          }));
      Workers.back()->start();
    }
  }

  static std::string zoneOf(int Host) {
    return "zone-" + std::string(1, static_cast<char>('a' + Host));
  }

  void startHosts(const std::string &Network) {
    for (int Index = 0; Index < Init.Hosts; ++Index) {
      const std::string Ip = Network + std::to_string(11 + Index);
      host Host;
      Host.Name = "front-" + zoneOf(Index) + "-1";
      Host.Front = Ip + ":" + std::to_string(freePort(Ip));
      Host.Ready = Ip + ":" + std::to_string(freePort(Ip));
      Host.Control = Ip + ":" + std::to_string(freePort(Ip));
      const std::string Inner = std::to_string(freePort(Ip));
      const std::string Path = Temporary + "/" + Host.Name + ".conf";
      std::ofstream(Path) << "nodeName=" << Host.Name
                          << "\nzone=" << zoneOf(Index)
                          << "\nregion=region\nipAddress=" << Ip
                          << "\nlistenAddresses.front=" << Host.Front
                          << "\nlistenAddresses.ready=" << Host.Ready
                          << "\nlistenAddresses.control=" << Host.Control
                          << "\ninternalPortRange=" << Inner << "," << Inner
                          << "\nplatform.address=" << StoreAddress
                          << "\nplatform.form=kv\nbounds.holdMaxMs=1000"
                          << "\nbounds.graceS=6\nbounds.resendMs=1300\n";
      Host.Process = launch(Path, Temporary + "/" + Host.Name + ".log");
      Hosts.push_back(Host);
    }
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
      probe(Index);
    }
  }

  pid_t launch(const std::string &Settings, const std::string &Log) const {
    const pid_t Process = fork();
    if (Process != 0) {
      return Process;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this process
    const int Fd = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(Fd, 1);
    dup2(Fd, 2);
    const std::string Boot = "TARRAGONBRIDGE_BOOT=" + Settings;
    const char *Program = "target/bin/tarragonbridge-pool";
    const char *Arguments[] = {Program, nullptr};
    const char *Variables[] = {"PATH=/usr/bin:/bin", "LANG=C.UTF-8",
                               Boot.c_str(), nullptr};
    if (chdir(Init.Root.c_str()) == 0) {
      execve(Program, const_cast<char *const *>(Arguments),
             const_cast<char *const *>(Variables));
    }
    _exit(127);
  }

  static void endProcess(host &Host) {
    if (Host.Process > 0) {
      kill(Host.Process, SIGKILL);
      waitpid(Host.Process, nullptr, 0);
      Host.Process = 0;
    }
  }

  /// The balancer's probe: two misses take a host out of rotation.
  void probe(std::size_t Index) {
    request(Hosts[Index].Ready, "GET", "/-/readiness", "", 900,
            [this, Index](int Status) {
              host &Host = Hosts[Index];
              Host.Misses = Status == 200 ? 0 : Host.Misses + 1;
              const bool IsIn =
                  Host.Misses == 0 || (Host.IsInRotation && Host.Misses < 2);
              if (IsIn != Host.IsInRotation) {
                note(Host.Name +
                     (IsIn ? " is in rotation" : " is out of rotation"));
              }
              Host.IsInRotation = IsIn;
            });
    Loop.after(1'000, [this, Index] { probe(Index); });
  }

  /// @returns a host in rotation, another than a given one if there is any
  std::size_t chooseHost(std::optional<std::size_t> Other) {
    std::vector<std::size_t> Eligible;
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
      if (Hosts[Index].IsInRotation && Other != Index) {
        Eligible.insert(Eligible.end(), Init.Shares[Index], Index);
      }
    }
    return Eligible.empty() ? Other.value_or(0)
                            : Eligible[Random() % Eligible.size()];
  }

  void submitNext(const std::string &Prefix) {
    const traffic &Traffic = Traffics[Prefix];
    if (Traffic.PerSecond <= 0) {
      return;
    }
    submit(newId(Traffic.Kind), Traffic);
    Loop.after(1e3 * std::exponential_distribution<>(Traffic.PerSecond)(Random),
               [this, Prefix] { submitNext(Prefix); });
  }

  void submit(const std::string &Id, const traffic &Traffic) {
    constexpr double ResendMs = 1'300;
    constexpr int MaxSubmissions = 4;
    job &Job = Jobs[Id];
    ++Job.Submissions;
    // "Retries reach other nodes."
    const std::size_t Host = chooseHost(Job.Host);
    Job.Host = Host;
    const bool Leaves =
        std::uniform_real_distribution<>()(Random) < Traffic.LeavePart;
    const double LeaveMs =
        Leaves
            ? std::uniform_real_distribution<>(0.3, 1)(Random) * Traffic.LeaveMs
            : Job.Kind.LimitMs;
    note("sent " + Id + " to " + Hosts[Host].Name);
    const traffic Again{Job.Kind, 0, 0, 0};
    request(Hosts[Host].Front, "POST", Job.Kind.Prefix + Id, bodyOf(Job.Kind),
            LeaveMs, [this, Id, Again](int Status) {
              note("answer " + Id + " " + std::to_string(Status));
              ++Answers[std::to_string(Status)];
              const bool IsSentAgain =
                  Status <= 0 || Status == 502 || Status == 504;
              if (IsSentAgain && Jobs[Id].Submissions < MaxSubmissions) {
                Loop.after(ResendMs, [this, Id, Again] { submit(Id, Again); });
              }
            });
  }

  void noteRun(const run_event &Event) {
    const std::string What = Event.Task + " run " + std::to_string(Event.Run) +
                             " at " + Event.Worker;
    std::set<std::string> &Running = RunningTasks[Event.Task];
    const std::string Key = std::to_string(Event.Run) + " at " + Event.Worker;
    if (Event.IsStart) {
      ++Starts;
      note("start " + What);
      if (!Running.empty()) {
        noteBroken("TWICE", What + " while it runs as run " + *Running.begin());
      }
      Running.insert(Key);
    } else {
      note("end " + What + " " + Event.How);
      Running.erase(Key);
    }
  }

  world_init Init;
  loop Loop;
  store Store;
  std::mt19937_64 Random;
  std::ofstream Record;
  std::string Temporary;
  std::string StoreAddress;
  double StartedAt = 0;
  std::vector<std::unique_ptr<worker>> Workers;
  std::vector<host> Hosts;
  std::map<std::string, job> Jobs;
  std::map<std::string, traffic> Traffics;
  std::map<std::string, std::set<std::string>> RunningTasks;
  std::map<std::string, std::size_t> Answers;
  std::map<std::string, std::size_t> Broken;
  std::size_t Starts = 0;
};

} // namespace review
