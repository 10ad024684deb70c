/// Several pool hosts, targets and callers in one deterministic simulation:
/// reducers joined by messages with delays, losses, cuts and late orders.
#pragma once

#include "emulator/rules.h"
#include "emulator/target_model.h"
#include "tarragonbridge/pool/pool.h"

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace tarragonbridge::pool {

struct simulation_init {
  std::size_t Hosts = 3; ///< in one failure domain each two
  std::size_t TargetsPerDomain = 4;
  std::size_t Domains = 1;
  std::uint64_t Seed = 1;
  double DatagramLoss = 0;
  ownership_rules Rules{};         ///< of all hosts
  std::vector<double> Speeds{1.0}; ///< of targets, in turn
  /// Told of each line that a host logs, and of targets' starts and ends.
  std::function<void(boot_time, const std::string &Line)> Trace;
};

struct simulated_job {
  std::string Id;
  std::uint32_t Tasks = 1;
  resource_vector Needs{14'000, 64, 0};
  milliseconds Work{100};
  std::string Route = "r0";
  bool Fails = false;
  milliseconds Estimated{};           ///< zero: right
  std::vector<milliseconds> WorkOf{}; ///< of each task; empty: all alike
};

class pool_simulation {
public:
  explicit pool_simulation(const simulation_init &Init);
  ~pool_simulation();

  /// Lets the time pass.
  void runFor(microseconds Time);
  boot_time now() const { return Now; }
  /// Runs until targets are owned and everybody is ready.
  void settle();

  /// Submits a job at a host; its answer is kept.
  request_handle submit(std::size_t Host, const simulated_job &Job);
  /// @returns a job that was submitted
  const simulated_job &jobOf(const std::string &Id) const {
    return Jobs.at(Id);
  }
  /// The caller goes without its answer.
  void leave(std::size_t Host, request_handle Request);
  /// @returns the answer, nothing while there is none
  std::optional<response_kind> answerOf(request_handle Request) const;
  milliseconds answeredAfter(request_handle Request) const;
  std::size_t count(response_kind Kind) const;

  void kill(std::size_t Host);
  void restart(std::size_t Host);
  void terminate(std::size_t Host, milliseconds Allowed);
  bool hasEnded(std::size_t Host) const;
  /// The host stands still until it is woken.
  void pause(std::size_t Host);
  void resume(std::size_t Host);
  /// No messages between two hosts, either way.
  void partitionHosts(std::size_t A, std::size_t B);
  void partitionFromTargets(std::size_t Host);
  void heal();
  /// Part of the orders that get no answer and are carried out late.
  void setLateOrders(double Share) { LateShare = Share; }
  /// The store has a new configuration; no watch tells of it.
  void setConfiguration(std::int64_t Version) {
    ConfigurationVersion = Version;
  }
  /// @returns how often the configuration was read beside the watch
  std::uint64_t configurationReads() const { return ConfigurationReads; }
  /// The store lists the hosts and targets again; dead hosts are gone.
  void listAll();
  void setDraining(const std::string &Target);
  void removeTarget(const std::string &Target);
  void post(std::size_t Host, event &&Event);

  emulator::target_model &target(std::size_t Index);
  /// A target loses everything and begins a new life under its id.
  void restartTarget(std::size_t Index);
  std::size_t targetCount() const;
  pool_metrics figuresOf(std::size_t Host) const;
  /// @returns what is counted, over all hosts that live
  std::uint64_t counted(counter Counter) const;
  /// @returns broken rules, a line each
  std::string broken();
  /// Targets that carried out an order to an earlier life of theirs.
  const std::set<std::string> &startedLateInAnotherLife() const {
    return StartedLateInAnotherLife;
  }
  std::uint64_t startsSeen() const { return Starts; }
  bool isEverythingIdle() const;

private:
  struct simulated_host;
  struct timed_action {
    boot_time At;
    std::uint64_t Number = 0;
    std::function<void()> Action;
    bool operator>(const timed_action &Other) const {
      return std::tie(At, Number) > std::tie(Other.At, Other.Number);
    }
  };

  void at(boot_time When, std::function<void()> Action);
  void begin(std::size_t Host);
  void introduce(std::size_t Host);
  void scheduleTimer(std::size_t Host);
  void carryOut(std::size_t Host, effect &&Effect);
  void carryOut(std::size_t Host, start_attempt &&Start);
  void carryOut(std::size_t Host, stop_attempt &&Stop);
  void carryOut(std::size_t Host, renew_target_lease &&Hold);
  void carryOut(std::size_t Host, send_datagram &&Datagram);
  void answerHold(std::size_t Host, std::uint64_t Life, renew_target_lease Hold,
                  boot_time Until);
  /// Posts an event if the process that asked still lives.
  void reply(std::size_t Host, std::uint64_t Life, event Event);
  bool reaches(std::size_t Host, const std::string &Target) const;
  void trace(const std::string &Who, const log_line &Line) const;
  /// Ends what is over everywhere, so that a start is judged by what runs.
  void advanceTargets();
  emulator::target_model *find(const std::string &Target);
  emulator::task_profile profileOf(const attempt_ref &Attempt) const;
  configuration makeConfiguration() const;
  microseconds delay();
  double draw() { return std::uniform_real_distribution<>(0, 1)(Random); }

  simulation_init Init;
  std::mt19937_64 Random;
  boot_time Now;
  std::uint64_t LastNumber = 0;
  std::priority_queue<timed_action, std::vector<timed_action>, std::greater<>>
      Actions;
  std::vector<simulated_host> Hosts;
  std::map<std::string, emulator::target_model> Targets;
  std::vector<std::string> TargetIds;
  std::set<std::string> Draining;
  std::map<std::string, simulated_job> Jobs;
  struct request_record {
    std::string Job;
    boot_time At;
    std::optional<response_kind> Answer;
    boot_time AnsweredAt;
  };
  std::map<std::uint64_t, request_record> Requests;
  std::set<std::pair<std::size_t, std::size_t>> CutHosts;
  std::set<std::size_t> CutFromTargets;
  double LateShare = 0;
  std::set<std::string> StartedLateInAnotherLife;
  std::int64_t ConfigurationVersion = 1;
  std::uint64_t ConfigurationReads = 0;
  std::uint64_t Starts = 0;
  std::uint64_t LastHolder = 100;
  emulator::rules_checker Checker;
};

/// Submits jobs evenly over all hosts for a time.
std::vector<request_handle> submitFor(pool_simulation &World, std::size_t Hosts,
                                      milliseconds Time, milliseconds Gap,
                                      const simulated_job &Like,
                                      const std::string &Prefix);
/// Checks that each of these requests was answered with a whole result.
void checkDone(const pool_simulation &World,
               const std::vector<request_handle> &Requests);

} // namespace tarragonbridge::pool
