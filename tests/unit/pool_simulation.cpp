#include "pool_simulation_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace tarragonbridge::pool {

namespace {
// Rule violations are starts later than this.
constexpr milliseconds MaxStartAfterCancel{3'000};
constexpr milliseconds MaxStartAfterDrain{2'000};
constexpr milliseconds SettleTime{1'500};

std::string domainName(std::size_t Domain) {
  return "domain-" + std::to_string(Domain);
}
} // namespace

pool_simulation::pool_simulation(const simulation_init &Given)
    : Init(Given), Random(Given.Seed), Now(std::chrono::seconds(100)),
      Checker(MaxStartAfterCancel, MaxStartAfterDrain) {
  for (std::size_t Domain = 0; Domain < Init.Domains; ++Domain) {
    for (std::size_t Index = 0; Index < Init.TargetsPerDomain; ++Index) {
      emulator::target_model_init Target;
      Target.Id = "t" + std::to_string(Domain) + "-" + std::to_string(Index);
      Target.Service = "service";
      Target.FailureDomain = domainName(Domain);
      Target.Speed = Init.Speeds[Index % Init.Speeds.size()];
      Target.ClockRate = Index % 2 == 0 ? 1 : 0.98;
      Checker.addTarget(Target);
      TargetIds.push_back(Target.Id);
      const std::string Id = Target.Id;
      Targets.emplace(Id, emulator::target_model(
                              Target, Now - std::chrono::seconds(50), 1'000,
                              [this](const emulator::target_event &Event) {
                                noteTarget(Event);
                              }));
    }
  }
  Hosts.resize(Init.Hosts);
  for (std::size_t Host = 0; Host < Init.Hosts; ++Host) {
    Hosts[Host].Init.Name = hostName(Host);
    Hosts[Host].Init.Rules = Init.Rules;
    Hosts[Host].Init.Limits = Init.Limits;
    Hosts[Host].Init.FailureDomain = domainName(Host % Init.Domains);
    startProcess(Host);
  }
  deliverSnapshots();
}

pool_simulation::~pool_simulation() = default;

void pool_simulation::noteTarget(const emulator::target_event &Event) {
  using kind = emulator::target_event::kind;
  const bool IsStart = Event.Kind == kind::Started;
  StartCount += IsStart ? 1 : 0;
  StartsByDomain[Targets.at(Event.Target).init().FailureDomain] +=
      IsStart ? 1 : 0;
  const char *Name = IsStart                       ? "run_started"
                     : Event.Kind == kind::Crashed ? "crashed"
                                                   : "run_ended";
  trace(Event.Target, {Name,
                       {{"job", Event.Attempt.Job},
                        {"task", std::to_string(Event.Attempt.Task)},
                        {"run", std::to_string(Event.Attempt.AttemptNumber)},
                        {"end", std::string(nameOf(Event.End))}}});
  Checker.noteTarget(Event,
                     [this](const attempt_ref &Ref) { return profileOf(Ref); });
  if (Event.Kind == kind::Crashed) {
    at(Now + Init.DownTime,
       [this, Target = Event.Target] { reviveTarget(Target); });
  }
}

void pool_simulation::reviveTarget(const std::string &Target) {
  emulator::target_model *Model = findTarget(Target);
  if (Model == nullptr || !Model->isDown()) {
    return;
  }
  trace(Target, {"reborn", {}});
  Model->crash(Now, Now.time_since_epoch().count());
  listTarget(*Model);
}

void pool_simulation::listTarget(const emulator::target_model &Target) {
  for (std::size_t Host = 0; Host < Hosts.size(); ++Host) {
    post(Host, targets_listed{false, {Target.record(Target.init().Id)}, {}});
  }
}

void pool_simulation::trace(const std::string &Who,
                            const log_line &Line) const {
  if (!Init.Trace) {
    return;
  }
  std::string Text = Who + " " + Line.Event;
  for (const auto &[Name, Value] : Line.Fields) {
    Text.append(" ").append(Name).append("=").append(Value);
  }
  Init.Trace(Now, Text);
}

void pool_simulation::at(boot_time When, std::function<void()> Action) {
  Actions.push({When, ++LastActionNumber, std::move(Action)});
}

microseconds pool_simulation::randomDelay() {
  constexpr std::int64_t MinMicroseconds = 200;
  constexpr std::int64_t MaxMicroseconds = 1'500;
  return microseconds(std::uniform_int_distribution<std::int64_t>(
      MinMicroseconds, MaxMicroseconds)(Random));
}

void pool_simulation::runFor(microseconds Time) {
  const boot_time End = Now + Time;
  while (!Actions.empty() && Actions.top().At <= End) {
    const timed_action Next = Actions.top();
    Actions.pop();
    Now = std::max(Now, Next.At);
    Next.Action();
  }
  Now = End;
}

void pool_simulation::settle() { runFor(SettleTime); }

void pool_simulation::startProcess(std::size_t Host) {
  simulated_host &Simulated = Hosts[Host];
  const boot_time TimeOfDay = Now + Simulated.ClockStep;
  Simulated.Init.Incarnation =
      static_cast<std::uint64_t>(TimeOfDay.time_since_epoch().count()) + Host;
  Simulated.Init.RandomSeed = Simulated.Init.Incarnation + Init.Seed;
  Simulated.Host = makePoolHost(Simulated.Init);
  ++Simulated.Generation;
  Simulated.TimerAt = boot_time::max();
  Simulated.IsPaused = false;
  Simulated.HasShutDown = false;
  Simulated.DeferredEvents.clear();
}

configuration pool_simulation::makeConfiguration() const {
  configuration Configuration;
  Configuration.Version = ConfigurationVersion;
  Configuration.Services["service"] = false;
  for (const auto &[Name, Priority] :
       {std::pair{"r0", 0}, std::pair{"r1", 2}, std::pair{"r2", 1}}) {
    route Route;
    Route.Name = Name;
    Route.HostName = "caller.example";
    Route.PathPrefix = "/" + Route.Name + "/";
    Route.Service = "service";
    Route.Priority = Priority;
    Route.MaxAttempts = 2;
    Route.ObjectiveFactor = 1.6;
    Route.ObjectiveMargin = milliseconds(60);
    Configuration.Routes.push_back(Route);
  }
  return Configuration;
}

std::vector<target_record> pool_simulation::listTargets() const {
  std::vector<target_record> Records;
  for (const auto &[Id, Target] : Targets) {
    if (Unlisted.contains(Id)) {
      continue;
    }
    target_record Record = Target.record(Id);
    Record.IsDraining = Draining.contains(Id);
    const auto Cold = ColdTimes.find(Id);
    Record.ColdTimeLeft =
        Cold == ColdTimes.end() ? milliseconds(0) : Cold->second;
    Records.push_back(std::move(Record));
  }
  return Records;
}

void pool_simulation::postTargets(std::size_t Host,
                                  std::vector<target_record> Records) {
  post(Host, targets_listed{true, std::move(Records), {}});
}

void pool_simulation::recordTargets() { RecordedTargets = listTargets(); }

void pool_simulation::deliverStaleTargets(std::size_t Host) {
  if (!RecordedTargets.empty()) {
    postTargets(Host, RecordedTargets);
  }
}

void pool_simulation::setUnlisted(std::size_t Target, bool IsUnlisted) {
  trace(TargetIds[Target], {IsUnlisted ? "unlisted" : "listed_again", {}});
  if (IsUnlisted) {
    Unlisted.insert(TargetIds[Target]);
  } else {
    Unlisted.erase(TargetIds[Target]);
  }
}

void pool_simulation::deliverSnapshot(std::size_t Host) {
  if (Hosts[Host].Host != nullptr && !Hosts[Host].IsPaused) {
    sendSnapshots(Host);
  }
}

members_listed
pool_simulation::membersWithout(const std::set<std::size_t> &Omitted) const {
  members_listed Members{true, {}, {}};
  for (std::size_t Host = 0; Host < Hosts.size(); ++Host) {
    const simulated_host &Simulated = Hosts[Host];
    if (Simulated.Host != nullptr && !Omitted.contains(Host)) {
      Members.Upserted.push_back(
          {{Simulated.Init.Name, Simulated.Init.Incarnation},
           Simulated.Init.Name,
           Simulated.Init.FailureDomain});
    }
  }
  return Members;
}

void pool_simulation::sendSnapshots(std::size_t Host) {
  simulated_host &Simulated = Hosts[Host];
  post(Host, store_reachability{true});
  if (!CutFromOperators.contains(Host)) {
    post(Host, evacuationSnapshot());
  }
  post(Host, configuration_read{makeConfiguration()});
  postTargets(Host, listTargets());
  post(Host, membersWithout({}));
  if (Simulated.Host != nullptr) {
    post(Host, member_registered{++LastOwnerNumber});
  }
}

void pool_simulation::deliverSnapshots() {
  for (std::size_t Host = 0; Host < Hosts.size(); ++Host) {
    deliverSnapshot(Host);
  }
}

void pool_simulation::post(std::size_t Host, event &&Event) {
  simulated_host &Simulated = Hosts[Host];
  if (Simulated.Host == nullptr) {
    return;
  }
  if (Simulated.IsPaused) {
    Simulated.DeferredEvents.push_back(std::move(Event));
    return;
  }
  std::vector<effect> Effects;
  reduce(*Simulated.Host, std::move(Event), Now, Effects);
  for (effect &Effect : Effects) {
    execute(Host, std::move(Effect));
  }
  scheduleTimer(Host);
}

void pool_simulation::scheduleTimer(std::size_t Host) {
  simulated_host &Simulated = Hosts[Host];
  if (Simulated.Host == nullptr) {
    return;
  }
  const boot_time Due =
      std::max(nextTimerAt(*Simulated.Host), Now + microseconds(50));
  if (Due >= Simulated.TimerAt) {
    return;
  }
  Simulated.TimerAt = Due;
  at(Due, [this, Host, Generation = Simulated.Generation, Due] {
    simulated_host &Later = Hosts[Host];
    if (Later.Generation != Generation || Later.TimerAt != Due) {
      return;
    }
    Later.TimerAt = boot_time::max();
    post(Host, timer_fired{});
  });
}

emulator::target_model *pool_simulation::findTarget(const std::string &Target) {
  const auto Found = Targets.find(Target);
  return Found == Targets.end() ? nullptr : &Found->second;
}

emulator::task_profile
pool_simulation::profileOf(const attempt_ref &Attempt) const {
  const auto Found = Jobs.find(Attempt.Job);
  if (Found == Jobs.end()) {
    return {};
  }
  const simulated_job &Job = Found->second;
  return {Job.RequiredResources,
          Attempt.Task < Job.TaskRunTimes.size()
              ? Job.TaskRunTimes[Attempt.Task]
              : Job.RunTime,
          Job.Fails, Job.CrashesAfter};
}

request_handle pool_simulation::submit(std::size_t Host,
                                       const simulated_job &Job) {
  const request_handle Request{Requests.size() + 1};
  Jobs[Job.Id] = Job;
  Requests[static_cast<std::uint64_t>(Request)] = {Job.Id, Now, {}, {}};
  Checker.noteSubmitted({Job.Id, {"service"}, {{0, Job.Tasks}}, 2, false});
  job_submitted Posted;
  Posted.Request = Request;
  Posted.HostName = "caller.example";
  Posted.Path = "/" + Job.Route + "/" + Job.Id;
  Posted.TimeLimit = Job.TimeLimit;
  Posted.HasRoom = Job.HasRoom;
  Posted.Job.Specification = "spec";
  Posted.Job.Steps.push_back({Job.Tasks, Job.RequiredResources,
                              Job.EstimatedRunTime > milliseconds(0)
                                  ? Job.EstimatedRunTime
                                  : Job.RunTime});
  post(Host, std::move(Posted));
  return Request;
}

void pool_simulation::cancel(std::size_t Host, const simulated_job &Job) {
  const request_handle Request{Requests.size() + 1};
  Requests[static_cast<std::uint64_t>(Request)] = {Job.Id, Now, {}, {}};
  post(Host, job_queried{Request, "caller.example",
                         "/" + Job.Route + "/" + Job.Id, true});
}

void pool_simulation::disconnect(std::size_t Host, request_handle Request) {
  const bool IsLost = LosingDisconnections.contains(Host);
  trace(hostName(Host),
        {IsLost ? "disconnection_lost" : "disconnected",
         {{"job", Requests.at(static_cast<std::uint64_t>(Request)).Job}}});
  if (!IsLost) {
    post(Host, caller_disconnected{Request});
  }
}

void pool_simulation::loseDisconnections(std::size_t Host) {
  LosingDisconnections.insert(Host);
}

void pool_simulation::deliverDisconnections(std::size_t Host) {
  LosingDisconnections.erase(Host);
}

std::optional<response_kind>
pool_simulation::responseOf(request_handle Request) const {
  return Requests.at(static_cast<std::uint64_t>(Request)).Response;
}

milliseconds pool_simulation::responseTime(request_handle Request) const {
  const request_record &Record =
      Requests.at(static_cast<std::uint64_t>(Request));
  return std::chrono::duration_cast<milliseconds>(Record.RespondedAt -
                                                  Record.At);
}

std::size_t pool_simulation::count(response_kind Kind) const {
  return static_cast<std::size_t>(
      std::count_if(Requests.begin(), Requests.end(), [&](const auto &Entry) {
        return Entry.second.Response == Kind;
      }));
}

void pool_simulation::kill(std::size_t Host) {
  trace(hostName(Host), {"killed", {}});
  Hosts[Host].Host.reset();
  ++Hosts[Host].Generation;
  Hosts[Host].EndedAt = Now;
}

void pool_simulation::restart(std::size_t Host) {
  trace(hostName(Host), {"restarted", {}});
  startProcess(Host);
  deliverSnapshots();
}

void pool_simulation::restartWithoutStore(std::size_t Host) {
  trace(hostName(Host), {"restarted_without_store", {}});
  startProcess(Host);
}

void pool_simulation::stepClock(std::size_t Host, microseconds Step) {
  Hosts[Host].ClockStep += Step;
}

void pool_simulation::terminate(std::size_t Host, milliseconds Allowed) {
  trace(hostName(Host), {"terminated", {}});
  post(Host, shutdown_requested{Allowed});
}

bool pool_simulation::hasShutDown(std::size_t Host) const {
  return Hosts[Host].HasShutDown;
}

bool pool_simulation::isRunning(std::size_t Host) const {
  return Hosts[Host].Host != nullptr;
}

bool pool_simulation::isPaused(std::size_t Host) const {
  return Hosts[Host].IsPaused;
}

boot_time pool_simulation::endedAt(std::size_t Host) const {
  return Hosts[Host].EndedAt;
}

void pool_simulation::pause(std::size_t Host) {
  trace(hostName(Host), {"frozen", {}});
  Hosts[Host].IsPaused = true;
}

void pool_simulation::resume(std::size_t Host) {
  trace(hostName(Host), {"woken", {}});
  Hosts[Host].IsPaused = false;
  std::vector<event> DeferredEvents = std::move(Hosts[Host].DeferredEvents);
  Hosts[Host].DeferredEvents.clear();
  if (Init.ResumesWithTimers) {
    post(Host, timer_fired{});
  }
  for (event &Event : DeferredEvents) {
    post(Host, std::move(Event));
  }
  post(Host, timer_fired{});
}

void pool_simulation::partitionHosts(std::size_t A, std::size_t B) {
  trace(hostName(A), {"cut", {{"from", hostName(B)}}});
  PartitionedHosts.insert(std::minmax(A, B));
}

void pool_simulation::partitionFromTargets(std::size_t Host) {
  trace(hostName(Host), {"cut", {{"from", "targets"}}});
  PartitionedFromTargets.insert(Host);
}

void pool_simulation::cutDatagrams(std::size_t From, std::size_t To) {
  trace(hostName(From), {"cut", {{"to", hostName(To)}}});
  CutDatagrams.emplace(From, To);
}

void pool_simulation::restoreDatagrams(std::size_t From, std::size_t To) {
  trace(hostName(From), {"restored", {{"to", hostName(To)}}});
  CutDatagrams.erase({From, To});
}

void pool_simulation::cutPath(std::size_t Host, std::size_t Target,
                              path_cut Cut) {
  trace(hostName(Host), {"path",
                         {{"target", TargetIds[Target]},
                          {"cut", std::to_string(static_cast<int>(Cut))}}});
  CutPaths[{Host, TargetIds[Target]}] = Cut;
}

void pool_simulation::heal() {
  trace("all", {"healed", {}});
  CutDatagrams.clear();
  CutPaths.clear();
  PartitionedHosts.clear();
  PartitionedFromTargets.clear();
}

void pool_simulation::setDraining(const std::string &Target) {
  Draining.insert(Target);
  Checker.noteDraining(Target, Now);
  deliverSnapshots();
}

void pool_simulation::setCold(std::size_t Index, milliseconds Time) {
  ColdTimes[TargetIds[Index]] = Time;
  deliverSnapshots();
}

evacuations_listed pool_simulation::evacuationSnapshot() const {
  evacuations_listed Listed{true, StoreRevision, {}, Now};
  for (const auto &[FailureDomain, Record] : Evacuations) {
    Listed.Records.push_back(Record);
  }
  return Listed;
}

void pool_simulation::setEvacuated(const std::string &FailureDomain,
                                   bool IsEvacuated, bool IsWatched) {
  constexpr milliseconds WatchLatency{5};
  trace("operators",
        {IsEvacuated ? "evacuate" : "take_back", {{"domain", FailureDomain}}});
  const evacuation_record Record{FailureDomain, IsEvacuated, ++StoreRevision};
  if (IsEvacuated) {
    Evacuations[FailureDomain] = Record;
  } else {
    Evacuations.erase(FailureDomain);
  }
  Checker.noteEvacuation(FailureDomain, IsEvacuated, Now);
  for (std::size_t Host = 0; IsWatched && Host < Hosts.size(); ++Host) {
    at(Now + WatchLatency, [this, Host, Record,
                            Generation = Hosts[Host].Generation] {
      if (Hosts[Host].Generation == Generation &&
          !CutFromOperators.contains(Host)) {
        post(Host, evacuations_listed{false, Record.Revision, {Record}, Now});
      }
    });
  }
}

void pool_simulation::cutFromOperators(std::size_t Host) {
  trace(hostName(Host), {"cut", {{"from", "operators"}}});
  CutFromOperators.insert(Host);
}

void pool_simulation::restoreOperators(std::size_t Host) {
  trace(hostName(Host), {"restored", {{"to", "operators"}}});
  CutFromOperators.erase(Host);
  post(Host, evacuationSnapshot());
}

std::uint64_t
pool_simulation::startsIn(const std::string &FailureDomain) const {
  const auto Found = StartsByDomain.find(FailureDomain);
  return Found == StartsByDomain.end() ? 0 : Found->second;
}

void pool_simulation::removeTarget(const std::string &Target) {
  Targets.at(Target).crash(Now, 0);
  Targets.erase(Target);
  deliverSnapshots();
}

void pool_simulation::setCapacity(std::size_t Index,
                                  const resource_vector &Capacity) {
  constexpr milliseconds StartTransit{5}; // of starts that are on their way
  emulator::target_model &Target = target(Index);
  const bool IsShrunk = Capacity.fitsIn(Target.init().Capacity);
  Target.setCapacity(Capacity);
  if (IsShrunk) {
    at(Now + StartTransit,
       [this, Init = Target.init()] { Checker.addTarget(Init); });
  } else {
    Checker.addTarget(Target.init());
  }
  listTarget(Target);
}

emulator::target_model &pool_simulation::target(std::size_t Index) {
  return Targets.at(TargetIds[Index]);
}

void pool_simulation::restartTarget(std::size_t Index) {
  trace(TargetIds[Index], {"reborn", {}});
  target(Index).crash(Now, Now.time_since_epoch().count());
}

void pool_simulation::restartTargetAs(std::size_t Index,
                                      const resource_vector &Capacity) {
  restartTarget(Index);
  target(Index).setCapacity(Capacity);
  Checker.addTarget(target(Index).init());
}

std::size_t pool_simulation::targetCount() const { return Targets.size(); }

pool_metrics pool_simulation::hostMetrics(std::size_t Host) const {
  return metricsOf(*Hosts[Host].Host, Now);
}

std::uint64_t pool_simulation::counterTotal(counter Counter) const {
  std::uint64_t Sum = 0;
  for (const simulated_host &Host : Hosts) {
    if (Host.Host != nullptr) {
      Sum += metricsOf(*Host.Host, Now)
                 .Counters.at(static_cast<std::size_t>(Counter));
    }
  }
  return Sum;
}

std::string pool_simulation::violations() {
  Checker.finish(Now);
  std::string Lines;
  for (const emulator::broken_rule &Broken : Checker.broken()) {
    Lines += std::string(nameOf(Broken.Rule)) + ": " + Broken.What + "\n";
  }
  return Lines;
}

bool pool_simulation::areTargetsIdle() const {
  return std::none_of(Targets.begin(), Targets.end(), [](const auto &Entry) {
    return Entry.second.isRunning();
  });
}

std::vector<request_handle> submitFor(pool_simulation &Simulation,
                                      std::size_t Hosts, milliseconds Time,
                                      milliseconds Interval,
                                      const simulated_job &Template,
                                      const std::string &Prefix) {
  std::vector<request_handle> Requests;
  for (milliseconds Elapsed{0}; Elapsed < Time; Elapsed += Interval) {
    simulated_job Job = Template;
    Job.Id = Prefix + std::to_string(Requests.size());
    Requests.push_back(Simulation.submit(Requests.size() % Hosts, Job));
    Simulation.runFor(Interval);
  }
  return Requests;
}

void checkJobsDone(const pool_simulation &Simulation,
                   const std::vector<request_handle> &Requests) {
  for (const request_handle Request : Requests) {
    CHECK(Simulation.responseOf(Request) == response_kind::JobDone);
  }
}

} // namespace tarragonbridge::pool
