/// Deterministic simulation of several pool hosts, targets and callers.
/// Connects the reducers by messages that are delayed or lost, with network
/// partitions and commands that are executed late.
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
  std::size_t Hosts = 3; ///< spread over the failure domains in turn
  std::size_t TargetsPerDomain = 4;
  std::size_t Domains = 1;
  std::uint64_t Seed = 1;
  double DatagramLoss = 0;
  ownership_rules Rules{}; ///< of all hosts
  pool_limits Limits = pool_init{}.Limits;
  std::vector<double> Speeds{1.0}; ///< of targets, in turn
  /// After which a target that a task has crashed is back, as a new
  /// incarnation.
  milliseconds DownTime{3'000};
  /// The timers of a resumed host fire before it handles the events that came
  /// meanwhile, instead of after them.
  bool ResumesWithTimers = false;
  /// Called with each log line of a host and each start and end of an attempt
  /// at a target.
  std::function<void(boot_time, const std::string &Line)> Trace;
};

struct simulated_job {
  std::string Id;
  std::uint32_t Tasks = 1;
  resource_vector RequiredResources{14'000, 64, 0};
  milliseconds RunTime{100};
  std::string Route = "r0";
  bool Fails = false;
  /// Each task crashes its target this long after its start.
  std::optional<milliseconds> CrashesAfter = {};
  milliseconds TimeLimit{};        ///< zero: none given
  milliseconds EstimatedRunTime{}; ///< zero: the exact run time
  /// Of each task; empty: all the same.
  std::vector<milliseconds> TaskRunTimes{};
  bool HasRoom = true; ///< in the memory of the host that it is submitted to
};

/// Faults of requests to targets, each as a fraction of the requests of a kind,
/// and delays.
struct request_faults {
  /// No response; executed up to MaxDelay later.
  double LateStarts = 0;
  double LateStops = 0;
  double LateRenewals = 0;
  milliseconds MaxDelay{6'000};
  double LostResponses = 0; ///< executed at once, no response
  double Unhealthy = 0;     ///< refused by the target, which does nothing
  milliseconds MaxStopTime{};
  double SlowResponses = 0; ///< delayed by up to MaxResponseDelay
  milliseconds MaxResponseDelay{150};
  double SlowDatagrams = 0; ///< between hosts, by up to MaxDatagramDelay
  milliseconds MaxDatagramDelay{60};
  /// A start whose response is lost gets NoAnswer after its timeout.
  bool ReportsTimeouts = false;
};

/// Directions of a path that are cut.
enum class path_cut : std::uint8_t { None, Requests, Responses, Both };

class pool_simulation {
public:
  explicit pool_simulation(const simulation_init &Init);
  ~pool_simulation();

  /// Advances the simulated time.
  void runFor(microseconds Time);
  boot_time now() const { return Now; }
  /// Runs for long enough that all targets are owned and all hosts ready.
  void settle();

  /// Submits a job to a host and records the response.
  request_handle submit(std::size_t Host, const simulated_job &Job);
  /// @returns a job that was submitted
  const simulated_job &jobOf(const std::string &Id) const {
    return Jobs.at(Id);
  }
  /// Cancels a job at a host, which may not have it.
  void cancel(std::size_t Host, const simulated_job &Job);
  /// The caller disconnects before the response.
  void disconnect(std::size_t Host, request_handle Request);
  /// Between the calls the network loses the ends of callers' connections to a
  /// host, which takes those that disconnect for present.
  void loseDisconnections(std::size_t Host);
  void deliverDisconnections(std::size_t Host);
  /// @returns the response, nullopt while there is none
  std::optional<response_kind> responseOf(request_handle Request) const;
  milliseconds responseTime(request_handle Request) const;
  std::size_t count(response_kind Kind) const;

  void kill(std::size_t Host);
  void restart(std::size_t Host);
  /// Restarts a host that reaches no store until the next snapshots.
  void restartWithoutStore(std::size_t Host);
  /// Steps the time of day of a host, by which its processes are numbered.
  void stepClock(std::size_t Host, microseconds Step);
  void terminate(std::size_t Host, milliseconds Allowed);
  bool hasShutDown(std::size_t Host) const;
  bool isRunning(std::size_t Host) const;
  bool isPaused(std::size_t Host) const;
  /// @returns when the host's latest process ended, the epoch if none has
  boot_time endedAt(std::size_t Host) const;
  /// The host handles no events until it is resumed.
  void pause(std::size_t Host);
  void resume(std::size_t Host);
  /// Drops messages between two hosts in both directions.
  void partitionHosts(std::size_t A, std::size_t B);
  void partitionFromTargets(std::size_t Host);
  /// Drops the datagrams from one host to another.
  void cutDatagrams(std::size_t From, std::size_t To);
  void restoreDatagrams(std::size_t From, std::size_t To);
  /// Cuts the path from a host to a target; replaces an earlier cut of it.
  void cutPath(std::size_t Host, std::size_t Target, path_cut Cut);
  void heal();
  void setRequestFaults(const request_faults &Given) { Faults = Given; }
  /// Fraction of the start commands that get no response and are executed late.
  void setLateCommandFraction(double Fraction) { Faults.LateStarts = Fraction; }
  /// Puts a new configuration into the store without a watch event.
  void setConfigurationVersion(std::int64_t Version) {
    ConfigurationVersion = Version;
  }
  /// @returns how often hosts polled the configuration
  std::uint64_t configurationReads() const { return ConfigurationReads; }
  /// Of a read of what operators have written.
  void setStoreLatency(milliseconds Latency) { StoreLatency = Latency; }
  /// @returns the requests of operators that are in force
  evacuations_listed evacuationSnapshot() const;
  /// Sends new snapshots of hosts and targets; dead hosts aren't listed.
  void deliverSnapshots();
  void deliverSnapshot(std::size_t Host);
  /// @returns a snapshot of the running hosts but some, whose registrations
  /// have expired
  members_listed membersWithout(const std::set<std::size_t> &Omitted) const;
  /// Sends a host a snapshot of the targets as they were at an earlier call of
  /// recordTargets().
  void deliverStaleTargets(std::size_t Host);
  void recordTargets();
  /// Whether snapshots omit a target, whose registration has expired.
  void setUnlisted(std::size_t Target, bool IsUnlisted);
  void setDraining(const std::string &Target);
  /// Lists a target as cold for a time from now on.
  void setCold(std::size_t Index, milliseconds Time);
  /// Operators evacuate a failure domain, or take it back. Unwatched: the
  /// watches miss the change.
  void setEvacuated(const std::string &FailureDomain, bool IsEvacuated,
                    bool IsWatched = true);
  /// Between the calls the store tells the host nothing of evacuations.
  void cutFromOperators(std::size_t Host);
  void restoreOperators(std::size_t Host);
  /// @returns the attempts started in a failure domain so far
  std::uint64_t startsIn(const std::string &FailureDomain) const;
  void removeTarget(const std::string &Target);
  /// Changes a target's capacity while it runs, and lists it.
  void setCapacity(std::size_t Index, const resource_vector &Capacity);
  void post(std::size_t Host, event &&Event);

  emulator::target_model &target(std::size_t Index);
  /// Restarts a target under its id as a new incarnation that has lost its
  /// state.
  void restartTarget(std::size_t Index);
  /// The same with another capacity.
  void restartTargetAs(std::size_t Index, const resource_vector &Capacity);
  std::size_t targetCount() const;
  pool_metrics hostMetrics(std::size_t Host) const;
  /// @returns the sum of a counter over all live hosts
  std::uint64_t counterTotal(counter Counter) const;
  /// @returns the violated rules, one per line
  std::string violations();
  /// Targets that accepted a start command that was sent to an earlier
  /// incarnation of theirs.
  const std::set<std::string> &targetsWithStaleStarts() const {
    return TargetsWithStaleStarts;
  }
  /// Targets that accepted a prompt start whose sender couldn't know yet that
  /// they had restarted.
  const std::set<std::string> &targetsWithUnknownRestarts() const {
    return TargetsWithUnknownRestarts;
  }
  std::uint64_t startCount() const { return StartCount; }
  /// @returns the most targets that crashed under one task
  std::uint32_t mostCrashes() const { return Checker.mostCrashes(); }
  bool areTargetsIdle() const;

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
  void startProcess(std::size_t Host);
  void sendSnapshots(std::size_t Host);
  void scheduleTimer(std::size_t Host);
  void execute(std::size_t Host, effect &&Effect);
  void execute(std::size_t Host, start_attempt &&Start);
  void execute(std::size_t Host, stop_attempt &&Stop);
  void execute(std::size_t Host, renew_target_lease &&Renewal);
  void execute(std::size_t Host, send_datagram &&Datagram);
  void respondToReread(std::size_t Host, std::uint64_t Generation);
  void respondToRenewal(std::size_t Host, std::uint64_t Generation,
                        renew_target_lease Renewal, boot_time Until);
  /// Delivers a response if the process that sent the request still runs.
  void deliverResponse(std::size_t Host, std::uint64_t Generation, event Event,
                       const std::string &Target = {});
  bool isReachable(std::size_t Host, const std::string &Target) const;
  bool mayRespond(std::size_t Host, const std::string &Target) const;
  /// Executes a renewal that gets no response.
  void renewUnanswered(const renew_target_lease &Renewal,
                       std::int64_t Incarnation);
  void executeStart(std::size_t Host, std::uint64_t Generation,
                    const start_attempt &Start, bool IsLate, bool IsLost);
  bool happens(double Fraction) {
    return Fraction > 0 && randomFraction() < Fraction;
  }
  microseconds lateDelay();
  /// @returns a usual delay, or a longer one for a fraction of the messages
  microseconds randomDelayOr(double SlowFraction, milliseconds MaxSlow);
  std::vector<target_record> listTargets() const;
  void postTargets(std::size_t Host, std::vector<target_record> Records);
  void trace(const std::string &Who, const log_line &Line) const;
  void noteTarget(const emulator::target_event &Event);
  /// Restarts a target that is down, and lists its new incarnation.
  void reviveTarget(const std::string &Target);
  void listTarget(const emulator::target_model &Target);
  /// Ends all attempts that are over, so that a start is checked only against
  /// those that still run.
  void advanceTargets();
  emulator::target_model *findTarget(const std::string &Target);
  /// @returns the target, unless it is down or there is none
  emulator::target_model *findRunningTarget(const std::string &Id);
  emulator::task_profile profileOf(const attempt_ref &Attempt) const;
  configuration makeConfiguration() const;
  microseconds randomDelay();
  double randomFraction() {
    return std::uniform_real_distribution<>(0, 1)(Random);
  }

  simulation_init Init;
  std::mt19937_64 Random;
  boot_time Now;
  std::uint64_t LastActionNumber = 0;
  std::priority_queue<timed_action, std::vector<timed_action>, std::greater<>>
      Actions;
  std::vector<simulated_host> Hosts;
  std::map<std::string, emulator::target_model> Targets;
  std::vector<std::string> TargetIds;
  std::set<std::string> Draining;
  std::map<std::string, milliseconds> ColdTimes; ///< by target
  std::map<std::string, simulated_job> Jobs;
  struct request_record {
    std::string Job;
    boot_time At;
    std::optional<response_kind> Response;
    boot_time RespondedAt;
  };
  std::map<std::uint64_t, request_record> Requests;
  std::set<std::pair<std::size_t, std::size_t>> PartitionedHosts;
  std::set<std::size_t> PartitionedFromTargets;
  std::set<std::pair<std::size_t, std::size_t>> CutDatagrams;
  std::set<std::size_t> LosingDisconnections; ///< hosts
  std::map<std::pair<std::size_t, std::string>, path_cut> CutPaths;
  std::set<std::string> Unlisted;
  std::vector<target_record> RecordedTargets;
  request_faults Faults;
  std::set<std::string> TargetsWithStaleStarts;
  std::set<std::string> TargetsWithUnknownRestarts;
  std::int64_t ConfigurationVersion = 1;
  std::uint64_t ConfigurationReads = 0;
  milliseconds StoreLatency{5};
  std::map<std::string, evacuation_record> Evacuations; ///< in force
  std::uint64_t StoreRevision = 1;
  std::set<std::size_t> CutFromOperators; ///< hosts
  std::map<std::string, std::uint64_t> StartsByDomain;
  std::uint64_t StartCount = 0;
  std::uint64_t LastOwnerNumber = 100;
  emulator::rules_checker Checker;
};

/// Submits jobs at a fixed interval for a time, to all hosts in turn.
std::vector<request_handle> submitFor(pool_simulation &Simulation,
                                      std::size_t Hosts, milliseconds Time,
                                      milliseconds Interval,
                                      const simulated_job &Template,
                                      const std::string &Prefix);
/// Checks that the job of each request has completed.
void checkJobsDone(const pool_simulation &Simulation,
                   const std::vector<request_handle> &Requests);

} // namespace tarragonbridge::pool
