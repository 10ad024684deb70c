/// A small deployment on loopback addresses: the store, the workers, and the
/// deployed program on each entry host as a process of its own.
#pragma once

#include "worker.h"

#include <csignal>
#include <sys/types.h>

namespace standin {

struct zone_init {
  std::string Name;
  int Hosts = 1;
  int Workers = 4;
};

/// One route of the configuration.
struct route_init {
  std::string Name;
  std::string HostName;
  std::string Prefix;
  int Priority = 0;
};

class deployment {
public:
  /// @param[in] Folder where the record is written
  deployment(std::vector<zone_init> Zones, const std::string &Folder);
  /// Ends all processes that it started, and removes its temporary folder.
  void end();

  /// Starts everything, and waits until all hosts are ready.
  /// @returns false if they don't become ready
  bool start();

  struct host {
    std::string Name;
    std::string Zone;
    int FrontPort = 0;
    int ReadyPort = 0;
    int ControlPort = 0;
    int PeerPort = 0;
    std::string SettingsPath;
    pid_t Pid = -1;
  };
  std::vector<host> &hosts() { return Hosts; }
  host &hostOf(const std::string &Zone, int Index = 0);
  std::vector<std::unique_ptr<worker>> &workers() { return Workers; }
  /// Adds a worker that has not begun to live.
  worker &addWorker(worker_init Init);
  /// Sends a signal to a host's process.
  void signal(host &Host, int Number);
  bool isReady(const host &Host);
  record &log() { return Record; }
  run_log &runs() { return Runs; }
  store &platform() { return Store; }
  const std::string &service() const { return Service; }
  const route_init &route() const { return Route; }

private:
  void writeSettings(host &Host);
  void launch(host &Host);

  std::vector<zone_init> Zones;
  std::string Folder;
  record Record;
  run_log Runs;
  store Store;
  std::string Service = "huvo11a";
  route_init Route{"r-73hh2b9", "nony24.example", "/pule252/", 0};
  std::vector<host> Hosts;
  std::vector<std::unique_ptr<worker>> Workers;
  std::string Temporary;
  std::string Seeds;
};

/// A job of equal tasks, as a client submits it.
struct job {
  std::string Id; ///< 16 hexadecimal digits
  int Tasks = 1;
  std::int64_t Cpu = 6'800;
  std::int64_t WorkMs = 1'000; ///< at speed 1
  std::int64_t LimitMs = 10'000;
};

/// @returns an id from a number
std::string jobId(std::uint64_t Number);

/// A client's attempt to hand a job in at a host.
class attempt {
public:
  attempt(deployment &Deployment, const deployment::host &Host, const job &Job);
  /// Awaits the response up to the client's time limit, and notes it.
  int await(std::string *Body = nullptr);
  /// The client leaves: it closes its channel.
  void leave();

private:
  deployment &Deployment;
  std::string Host;
  job Job;
  std::int64_t SentAt = 0;
  std::unique_ptr<http_call> Call;
};

/// Cancels a job at a host. @returns the status
int cancel(deployment &Deployment, const deployment::host &Host,
           const std::string &Id);

void sleepMs(std::int64_t Time);
void sleepUntil(std::int64_t At);

} // namespace standin
