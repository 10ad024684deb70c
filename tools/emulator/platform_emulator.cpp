#include "emulator/platform_emulator.h"

#include "base/clock.h"
#include "core/json_text.h"
#include "poolhost/signal_pipe.h"

#include <cmath>
#include <sstream>
#include <sys/epoll.h>

namespace tarragonbridge::emulator {

namespace {
using poolhost::server_request;

constexpr milliseconds ReportInterval{500}; ///< of targets, to the store
constexpr milliseconds ConfigurationBound{2'000};
constexpr milliseconds CancelBound{3'000};
constexpr milliseconds DrainBound{2'000};
constexpr milliseconds EvacuationBound{5'000};
constexpr std::string_view EvacuationsPrefix = "op/evacuate/";
constexpr milliseconds ProbeInterval{250};
constexpr long MaxConnectionsPerHost = 64;
constexpr std::string_view HostName = "desk.example";
} // namespace

platform_emulator::platform_emulator(const emulator_init &Given)
    : Init(Given), Calls(Loop, MaxConnectionsPerHost),
      Checker(CancelBound, DrainBound, EvacuationBound),
      Store(Loop, Schedule, Init.StoreAddress, Init.Seed),
      Admin(Loop, {Init.AdminAddress, ""}) {
  for (std::size_t Index = 0; Index < Init.Targets.size(); ++Index) {
    target_model_init Target;
    Target.Id = "t" + std::to_string(Index);
    Target.Service = "desk";
    Target.FailureDomain =
        Init.FailureDomains[Index % Init.FailureDomains.size()];
    Target.Speed = Init.Speeds[Index % Init.Speeds.size()];
    Target.ClockRate = Index % 2 == 0 ? 1 : 0.98;
    Checker.addTarget(Target);
    const auto ProfileOf = [this](const attempt_ref &Attempt) {
      return Callers ? Callers->profileOf(Attempt) : task_profile{};
    };
    Targets.push_back(std::make_unique<target_server>(
        Loop, Schedule, Store, Target,
        target_addresses{Init.Targets[Index], Init.Published[Index]},
        [this, ProfileOf](const target_event &Event) {
          Starts += Event.Kind == target_event::kind::Started ? 1 : 0;
          Checker.noteTarget(Event, ProfileOf);
        },
        ProfileOf, Init.Seed + Index));
  }
}

result<void> platform_emulator::start() {
  BOOST_LEAF_CHECK(Store.start());
  BOOST_LEAF_CHECK(Admin.start(
      [this](request_handle Request, server_request &&Received) {
        takeAdmin(Request, std::move(Received));
      },
      [](request_handle) {}));
  for (const auto &Target : Targets) {
    BOOST_LEAF_CHECK(Target->start([this] {
      for (const auto &Other : Targets) {
        Other->model().advance(bootNow());
      }
    }));
  }
  configure({"quote", "long"});
  reportTargets();
  probeConfiguration();
  Loop.watch(poolhost::signalDescriptor(), EPOLLIN,
             [this](std::uint32_t) { IsEnding = true; });
  return {};
}

void platform_emulator::run() {
  constexpr milliseconds Tick{5};
  while (!IsEnding) {
    const boot_time Now = bootNow();
    boot_time Due =
        std::min({Now + Tick, Schedule.nextDueAt(), Calls.nextDueAt(),
                  Store.nextDueAt(), Admin.nextDueAt()});
    for (const auto &Target : Targets) {
      Due = std::min(Due, Target->nextDueAt());
    }
    Loop.runOnce(Due);
    Calls.onTimer();
    Calls.completeRequests();
    Schedule.runDue(bootNow());
    Store.onTimer(bootNow());
    Store.flush(bootNow());
    Admin.flush(bootNow());
    for (const auto &Target : Targets) {
      Target->onTimer(bootNow());
      Target->flush(bootNow());
    }
  }
}

void platform_emulator::configure(const std::set<std::string> &Wanted) {
  Routes = Wanted;
  AllRoutes.insert(Wanted.begin(), Wanted.end());
  ConfiguredAt = bootNow();
  Version += 1 + static_cast<std::int64_t>(Init.Seed % 3);
  Json::Value Body;
  Body["version"] = static_cast<Json::Int64>(Version);
  Body["routes"] = Json::Value(Json::arrayValue);
  for (const std::string &Name : Routes) {
    Json::Value Route;
    Route["name"] = Name;
    Route["host"] = std::string(HostName);
    Route["prefix"] = "/" + Name + "/";
    Route["kind"] = "unsafe";
    Route["timeoutMs"] = 1'500;
    Route["targetDurationMs"] = 60;
    Route["priority"] = 0;
    Route["service"] = "desk";
    Route["maxAttempts"] = 2;
    Route["stretch"] = 1.6;
    Body["routes"].append(Route);
  }
  Json::Value Service;
  Service["name"] = "desk";
  Service["admissionCheck"] = false;
  Body["services"].append(Service);
  Store.write("op/config", writeJson(Body));
}

void platform_emulator::reportTargets() {
  for (const auto &Target : Targets) {
    Target->report(bootNow());
  }
  Schedule.at(bootNow() + ReportInterval, [this] { reportTargets(); });
}

void platform_emulator::probeConfiguration() {
  if (bootNow() >= ConfiguredAt + ConfigurationBound) {
    for (const std::string &Host : Hosts) {
      for (const std::string &Route : AllRoutes) {
        probe(Host, Route, Routes.contains(Route));
      }
    }
  }
  Schedule.at(bootNow() + ProbeInterval, [this] { probeConfiguration(); });
}

void platform_emulator::probe(const std::string &Host, const std::string &Route,
                              bool IsThere) {
  ++Probes;
  poolhost::outgoing_request Call;
  Call.Method = "GET";
  Call.Address = Host;
  Call.Path = "/" + Route + "/";
  Call.Headers = {"Host: " + std::string(HostName)};
  Calls.send(std::move(Call), [this, Host, Route, IsThere, Sent = Version](
                                  poolhost::received_response &&Result) {
    const int Wanted = IsThere ? 200 : 404;
    constexpr int StatusUnavailable = 503; // no configuration yet
    if (Sent == Version && Result.Status != 0 &&
        Result.Status != StatusUnavailable && Result.Status != Wanted) {
      Checker.noteOldConfiguration(Host + " answers " +
                                       std::to_string(Result.Status) +
                                       " for route " + Route,
                                   bootNow());
    }
  });
}

void platform_emulator::beginRun(const Json::Value &Order) {
  callers_init Given;
  Hosts.clear();
  for (const Json::Value &Host : Order["hosts"]) {
    Hosts.push_back(Host.asString());
  }
  Given.Hosts = Hosts;
  Given.HostName = HostName;
  Given.Seed = Init.Seed;
  Given.LeavingPart = Order.get("leaving", 0.0).asDouble();
  Given.UnnoticedPart = Order.get("unnoticed", 0.0).asDouble();
  Given.TimeLimit = milliseconds(
      Order.get("limit_ms", Json::Int64(Given.TimeLimit.count())).asInt64());
  const double Load = Order.get("load", 1.0).asDouble();
  job_kind Quote;
  Quote.PathPrefix = "/quote/";
  Quote.PerSecond = 12 * Load;
  Quote.Tasks = 3;
  Quote.Work = milliseconds(80);
  job_kind Long;
  Long.PathPrefix = "/long/";
  Long.PerSecond = 2 * Load;
  Long.Tasks = 2;
  Long.Work = milliseconds(Order.get("long_ms", 400).asInt64());
  Long.FailingPart = Order.get("failing", 0.0).asDouble();
  Given.Kinds = {Quote, Long};
  Callers = std::make_unique<job_callers>(Schedule, Calls, Checker, Given);
  Callers->run(bootNow() +
               std::chrono::duration_cast<microseconds>(
                   std::chrono::duration<double>(Order["seconds"].asDouble())));
}

void platform_emulator::orderFaults(const Json::Value &Order) {
  if (Order.isMember("store")) {
    const Json::Value &Wanted = Order["store"];
    store_faults Faults;
    Faults.IsDown = Wanted.get("down", false).asBool();
    Faults.IsSilent = Wanted.get("silent", false).asBool();
    Faults.Slow = milliseconds(Wanted.get("slow_ms", 0).asInt64());
    Faults.LosesAnswers = Wanted.get("loses", 0.0).asDouble();
    Faults.MissesWatches = Wanted.get("misses_watches", false).asBool();
    Store.setFaults(Faults, bootNow());
  }
  if (Order.isMember("targets")) {
    orderTargets(Order["targets"]);
  }
}

void platform_emulator::orderTargets(const Json::Value &Order) {
  const double Share = Order.get("share", 0.0).asDouble();
  const auto Count = static_cast<std::size_t>(
      std::lround(Share * static_cast<double>(Targets.size())));
  const boot_time Now = bootNow();
  for (std::size_t Index = 0; Index < Targets.size(); ++Index) {
    target_server &Target = *Targets[Index];
    const bool IsHit = Index < Count;
    Target.faults().LateOrders = IsHit ? Order.get("late", 0.0).asDouble() : 0;
    Target.faults().IsMute = IsHit && Order.get("mute", false).asBool();
    Target.model().setSlowness(IsHit ? Order.get("slow", 1.0).asDouble() : 1,
                               Now);
    Target.model().setFailing(IsHit && Order.get("failing", false).asBool());
    if (IsHit && Order.get("crash", false).asBool()) {
      Target.crash(Now);
    }
    if (IsHit && Order.get("drain", false).asBool()) {
      Target.setDraining();
      Target.report(Now);
      Checker.noteDraining(Target.model().init().Id, Now);
    }
  }
}

Json::Value platform_emulator::report() {
  Json::Value Body;
  Checker.finish(bootNow());
  Body["broken"] = Json::Value(Json::arrayValue);
  for (const broken_rule &Broken : Checker.broken()) {
    Body["broken"].append(std::string(nameOf(Broken.Rule)) + ": " +
                          Broken.What);
  }
  const auto Count = [&Body](const char *Name, std::uint64_t Value) {
    Body[Name] = static_cast<Json::UInt64>(Value);
  };
  Count("starts", Starts);
  Count("store_calls", Store.callCount());
  Count("probes", Probes);
  if (Callers) {
    const callers_figures &Figures = Callers->figures();
    Count("asked", Figures.Asked);
    Count("served", Figures.Served);
    Count("in_objective", Figures.InObjective);
    Count("refused", Figures.Refused);
    Count("failed", Figures.Failed);
    Count("left", Figures.Left);
    Count("resent", Figures.Resent);
    Count("left_unnoticed", Figures.LeftUnnoticed);
    Count("waiting", Callers->waiting());
  }
  return Body;
}

void platform_emulator::writeEntry(const Json::Value &Order) {
  const std::string Key = Order["key"].asString();
  if (Key.starts_with(EvacuationsPrefix)) {
    Checker.noteEvacuation(Key.substr(EvacuationsPrefix.size()),
                           Order.isMember("value"), bootNow());
  }
  if (Order.isMember("value")) {
    Store.write(Key, Order["value"].asString());
    return;
  }
  const auto Item = Store.keys().find(Key);
  if (!Order.isMember("changes") || !Item) {
    Store.remove(Key);
    return;
  }
  Json::Value Entry;
  std::istringstream(Item->Value) >> Entry;
  for (const std::string &Name : Order["changes"].getMemberNames()) {
    Entry[Name] = Order["changes"][Name];
  }
  Store.write(Key, writeJson(Entry));
}

void platform_emulator::takeAdmin(request_handle Request,
                                  server_request &&Received) {
  Json::Value Order;
  if (!Received.Body.empty()) {
    std::istringstream(Received.Body) >> Order;
  }
  if (Received.Path == "/report") {
    Admin.respond(Request, {200, writeJson(report()), {}});
    return;
  }
  if (Received.Path == "/run") {
    beginRun(Order);
  } else if (Received.Path == "/faults") {
    orderFaults(Order);
  } else if (Received.Path == "/configuration") {
    std::set<std::string> Wanted;
    for (const Json::Value &Name : Order["routes"]) {
      Wanted.insert(Name.asString());
    }
    configure(Wanted);
  } else if (Received.Path == "/planned") {
    Callers->setPlanned(Order["host"].asString(), Order["on"].asBool());
  } else if (Received.Path == "/entry") {
    writeEntry(Order);
  } else if (Received.Path == "/compact") {
    Store.keys().compact();
  } else if (Received.Path == "/revoke") {
    Store.keys().removePrefix("tarragonbridge/");
  } else {
    Admin.respond(Request, {404, "{}", {}});
    return;
  }
  Admin.respond(Request, {200, "{}", {}});
}

} // namespace tarragonbridge::emulator
