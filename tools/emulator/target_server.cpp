#include "emulator/target_server.h"

#include "base/clock.h"
#include "core/json_text.h"

#include <algorithm>
#include <array>

namespace tarragonbridge::emulator {

namespace {
using poolhost::server_request;
using poolhost::server_response;

constexpr int StatusBadRequest = 400;
constexpr int StatusConflict = 409;
constexpr milliseconds LeastLateness{2'000};
constexpr milliseconds MostLateness{6'000};
constexpr milliseconds LongestWait{2'000};

/// ID.K.STEP.INDEX
std::optional<attempt_ref> parseAttempt(const Json::Value &Body) {
  if (!Body["task"].isString() || !Body["run"].isUInt() ||
      !Body["fencingToken"].isUInt64()) {
    return std::nullopt;
  }
  const std::string Name = Body["task"].asString();
  std::array<std::string, 4> Parts;
  std::size_t Begin = 0;
  for (std::string &Part : Parts) {
    const std::size_t End = std::min(Name.find('.', Begin), Name.size());
    Part = Name.substr(Begin, End - Begin);
    Begin = std::min(End + 1, Name.size());
  }
  return attempt_ref{Parts[0],
                     static_cast<std::uint32_t>(std::atoi(Parts[2].c_str())),
                     static_cast<std::uint32_t>(std::atoi(Parts[3].c_str())),
                     Body["run"].asUInt()};
}

Json::Value formatAttempt(const attempt_ref &Attempt) {
  return Attempt.Job + ".0." + std::to_string(Attempt.Step) + "." +
         std::to_string(Attempt.Task);
}

std::string_view reasonOf(command_outcome Outcome) {
  switch (Outcome) {
  case command_outcome::Fenced:
    return "fence";
  case command_outcome::OldRun:
    return "old";
  case command_outcome::TooLate:
    return "late";
  default:
    return "room";
  }
}

std::string_view howOf(attempt_outcome End) {
  switch (End) {
  case attempt_outcome::Done:
    return "done";
  case attempt_outcome::Stopped:
    return "stopped";
  case attempt_outcome::Lost:
    return "lapsed";
  default:
    return "failed";
  }
}
} // namespace

target_server::target_server(poolhost::epoll_loop &Loop, schedule &Schedule,
                             store_server &Store, target_model_init Init,
                             target_addresses Given,
                             target_model::recorder Record,
                             profile_lookup Profiles, std::uint64_t Seed)
    : Schedule(Schedule), Store(Store), Addresses(std::move(Given)),
      Entry(Loop, {Addresses.Listen, ""}),
      Model(std::move(Init), bootNow(), wallNow().time_since_epoch().count(),
            std::move(Record)),
      Profiles(std::move(Profiles)), Random(Seed) {}

result<void> target_server::start(std::function<void()> Called) {
  BeforeStart = std::move(Called);
  return Entry.start(
      [this](request_handle Request, server_request &&Received) {
        take(Request, std::move(Received));
      },
      [this](request_handle Request) {
        std::erase_if(Holds, [&](const waiting_hold &Hold) {
          return Hold.Request == Request;
        });
      });
}

bool target_server::isLate() {
  return std::uniform_real_distribution<>(0, 1)(Random) < Faults.LateOrders;
}

void target_server::take(request_handle Request, server_request &&Received) {
  if (Faults.IsMute) {
    return;
  }
  Json::CharReaderBuilder Builder;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  Json::Value Body;
  const char *Begin = Received.Body.data();
  if (!Reader->parse(Begin, Begin + Received.Body.size(), &Body, nullptr) ||
      !Body.isObject()) {
    Entry.respond(Request, {StatusBadRequest, "{}", {}});
    return;
  }
  const auto Handle = [this, Path = Received.Path, Body](request_handle Asked) {
    if (Path == "/-/run-start") {
      takeStart(Asked, Body);
    } else if (Path == "/-/run-stop") {
      takeStop(Asked, Body);
    } else if (Path == "/-/hold") {
      takeHold(Asked, Body);
    } else {
      Entry.respond(Asked, {StatusBadRequest, "{}", {}});
    }
  };
  if (!isLate()) {
    Handle(Request);
    return;
  }
  const auto Lateness = std::chrono::duration_cast<milliseconds>(
      LeastLateness + std::uniform_real_distribution<>(0, 1)(Random) *
                          (MostLateness - LeastLateness));
  // Carried out for nobody: the handle of no request.
  Schedule.at(bootNow() + Lateness, [Handle] { Handle(request_handle{0}); });
}

void target_server::respond(request_handle Request, command_outcome Outcome) {
  Json::Value Body;
  Body["clockMs"] = static_cast<Json::Int64>(Model.clock(bootNow()).count());
  if (Outcome == command_outcome::Accepted) {
    Entry.respond(Request, {200, writeJson(Body), {}});
    return;
  }
  Body["reason"] = std::string(reasonOf(Outcome));
  Entry.respond(Request, {StatusConflict, writeJson(Body), {}});
}

void target_server::takeStart(request_handle Request, const Json::Value &Body) {
  const auto Attempt = parseAttempt(Body);
  if (!Attempt) {
    Entry.respond(Request, {StatusBadRequest, "{}", {}});
    return;
  }
  BeforeStart();
  respond(Request, Model.start(*Attempt, Body["fencingToken"].asUInt64(),
                               milliseconds(Body["deadlineMs"].asInt64()),
                               Profiles(*Attempt), bootNow()));
}

void target_server::takeStop(request_handle Request, const Json::Value &Body) {
  const auto Attempt = parseAttempt(Body);
  if (!Attempt) {
    Entry.respond(Request, {StatusBadRequest, "{}", {}});
    return;
  }
  respond(Request,
          Model.stop(*Attempt, Body["fencingToken"].asUInt64(), bootNow()));
}

void target_server::takeHold(request_handle Request, const Json::Value &Body) {
  if (!Body["fencingToken"].isUInt64()) {
    Entry.respond(Request, {StatusBadRequest, "{}", {}});
    return;
  }
  const boot_time Now = bootNow();
  std::optional<milliseconds> Deadline;
  if (Body.isMember("deadlineMs")) {
    Deadline = milliseconds(Body["deadlineMs"].asInt64());
  }
  const milliseconds Wait(Body.get("waitMs", 0).asInt64());
  const waiting_hold Hold{Request, Body["fencingToken"].asUInt64(),
                          Body["lastSeen"].asUInt64(),
                          Now + std::min(Wait, LongestWait)};
  if (!answerHold(Hold, Deadline, Now)) {
    Holds.push_back(Hold);
  }
}

bool target_server::answerHold(const waiting_hold &Hold,
                               std::optional<milliseconds> Deadline,
                               boot_time Now) {
  pool::renewal_response Lists;
  const command_outcome Outcome =
      Model.hold(Hold.Token, Hold.LastEnd, Deadline, Lists, Now);
  if (Outcome != command_outcome::Accepted) {
    respond(Hold.Request, Outcome);
    return true;
  }
  if (Lists.Outcomes.empty() && Now < Hold.Until) {
    return false;
  }
  Json::Value Body;
  Body["clockMs"] = static_cast<Json::Int64>(Model.clock(Now).count());
  Body["born"] = static_cast<Json::Int64>(Model.incarnation());
  Body["running"] = Json::Value(Json::arrayValue);
  for (const attempt_ref &Attempt : Lists.Running) {
    Json::Value Row(Json::arrayValue);
    Row.append(formatAttempt(Attempt));
    Row.append(Attempt.AttemptNumber);
    Row.append("");
    Row.append(0);
    Body["running"].append(Row);
  }
  Body["ended"] = Json::Value(Json::arrayValue);
  for (const pool::listed_outcome &End : Lists.Outcomes) {
    Json::Value Row(Json::arrayValue);
    Row.append(static_cast<Json::UInt64>(End.Number));
    Row.append(formatAttempt(End.Attempt));
    Row.append(End.Attempt.AttemptNumber);
    Row.append(std::string(howOf(End.Outcome)));
    Row.append("");
    Body["ended"].append(Row);
  }
  Entry.respond(Hold.Request, {200, writeJson(Body), {}});
  return true;
}

void target_server::onTimer(boot_time Now) {
  Model.advance(Now);
  std::erase_if(Holds, [&](const waiting_hold &Hold) {
    return answerHold(Hold, std::nullopt, Now);
  });
}

boot_time target_server::nextDueAt() const {
  boot_time Due = std::min(Model.nextEnd(), Entry.nextDueAt());
  for (const waiting_hold &Hold : Holds) {
    Due = std::min(Due, Hold.Until);
  }
  return Due;
}

void target_server::report(boot_time Now) {
  const pool::target_record Record = Model.record(Addresses.Published);
  Json::Value Body;
  Body["service"] = Record.Service;
  Body["address"] = Record.Address;
  Body["zone"] = Record.FailureDomain;
  Body["version"] = "v1";
  Body["slots"] = 8;
  Body["state"] = IsDraining ? "draining" : "ready";
  Body["coldMs"] = 0;
  Body["capacity"]["cpu"] = static_cast<Json::Int64>(Record.Capacity.CpuMilli);
  Body["capacity"]["memMb"] =
      static_cast<Json::Int64>(Record.Capacity.MemoryMb);
  Body["capacity"]["gpu"] =
      static_cast<Json::Int64>(Record.Capacity.Accelerators);
  Body["labels"].append(Record.Kind);
  Body["labels"].append("r0");
  Body["clockMs"] = static_cast<Json::Int64>(Model.clock(Now).count());
  Body["born"] = static_cast<Json::Int64>(Model.incarnation());
  Body["sequence"] = static_cast<Json::UInt64>(++Sequence);
  Store.write("servers/" + Record.Id, writeJson(Body));
}

void target_server::leave() { Store.remove("servers/" + Model.init().Id); }

void target_server::crash(boot_time Now) {
  Model.crash(Now, wallNow().time_since_epoch().count());
  Holds.clear();
}

} // namespace tarragonbridge::emulator
