/// Emulator of the users' platform: its store, targets and callers in one
/// process, with faults to order and its rules checked.
///
/// POST /run {"hosts":[...],"seconds":N,"leaving":0.1,"unnoticed":0.1,
/// "long_ms":400,"limit_ms":3000} lets callers submit jobs. POST /faults
/// {"store":{"down","silent","slow_ms","loses","misses_watches"}} or
/// {"targets":{"share","late","slow","mute","failing","crash","drain",
/// "leave"}} (share: of the targets, from the first; 0 heals all).
/// POST /configuration {"routes":["quote",...]}; POST /planned {"host","on"};
/// POST /entry {"key","value"} (as another writer; "changes" in place of the
/// value replaces members of the entry, and with neither the key is removed);
/// POST /compact; POST /revoke; GET /report.
#pragma once

#include "emulator/job_callers.h"
#include "emulator/store_server.h"
#include "emulator/target_server.h"

namespace tarragonbridge::emulator {

struct emulator_init {
  std::string StoreAddress;
  std::string AdminAddress;
  std::vector<std::string> Targets;   ///< addresses to listen at
  std::vector<std::string> Published; ///< addresses in the store; else the same

  std::vector<std::string> FailureDomains;
  std::vector<double> Speeds{1.0};
  std::uint64_t Seed = 1;
};

class platform_emulator {
public:
  explicit platform_emulator(const emulator_init &Init);
  result<void> start();
  void run();

private:
  void takeAdmin(request_handle Request, poolhost::server_request &&Received);
  Json::Value report();
  void beginRun(const Json::Value &Order);
  void orderFaults(const Json::Value &Order);
  void orderTargets(const Json::Value &Order);
  void configure(const std::set<std::string> &Routes);
  void writeEntry(const Json::Value &Order);
  void reportTargets();
  void probeConfiguration();
  void probe(const std::string &Host, const std::string &Route, bool IsThere);

  emulator_init Init;
  poolhost::epoll_loop Loop;
  schedule Schedule;
  poolhost::async_http_client Calls;
  rules_checker Checker;
  store_server Store;
  poolhost::async_http_server Admin;
  std::vector<std::unique_ptr<target_server>> Targets;
  std::unique_ptr<job_callers> Callers;
  std::vector<std::string> Hosts;
  std::set<std::string> Routes;
  std::set<std::string> AllRoutes;
  std::int64_t Version = 0;
  boot_time ConfiguredAt;
  std::uint64_t Probes = 0;
  std::uint64_t Starts = 0;
  bool IsEnding = false;
};

} // namespace tarragonbridge::emulator
