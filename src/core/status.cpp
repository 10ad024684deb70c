#include "core/status_p.h"

#include "core/json_text.h"
#include "tarragonbridge/membership.h"

#include "core/settings_p.h"
#include <array>

namespace tarragonbridge {

namespace {
constexpr int StatusOk = 200;

Json::Value describeTarget(const target_record &Target, boot_time Now) {
  Json::Value Row;
  Row["name"] = Target.Host.Name;
  Row["failure_domain"] = Target.Host.FailureDomain;
  Row["state"] = Target.Host.State == host_state::Live ? "live" : "leaving";
  constexpr std::array<const char *, 3> Health{"well", "set aside", "probed"};
  Row["health"] = Health.at(static_cast<std::size_t>(Target.Health.state(Now)));
  Row["listed"] = Target.Listed;
  Row["running_here"] = Json::UInt64(Target.Running.size());
  Row["slots"] = Target.Host.Slots;
  Row["slots_here"] = Target.SlotShare;
  return Row;
}

Json::Value describePeer(const member &Member, boot_time Now) {
  const bool WasHeard = Member.Incarnation != 0;
  Json::Value Row;
  Row["name"] = Member.Host.Name;
  Row["failure_domain"] = Member.Host.FailureDomain;
  Row["state"] = Member.Beat.Leaving ? "leaving"
                 : WasHeard          ? "live"
                                     : "unheard";
  Row["settings_revision"] = Json::Int64(Member.Beat.SettingsRevision);
  if (WasHeard) {
    const auto Since = std::chrono::floor<milliseconds>(Now - Member.LastHeard);
    Row["heard_ms_ago"] = Json::Int64(Since.count());
  }
  return Row;
}

Json::Value describeReasons(const reason_counters &Counters) {
  Json::Value Reasons(Json::objectValue);
  for (const reason_info &Info : reasonTable()) {
    if (Counters.get(Info.Code) != 0) {
      Reasons[std::string(Info.Name)] = Json::UInt64(Counters.get(Info.Code));
    }
  }
  return Reasons;
}

void addTotals(const dispatcher_figures &Figures, Json::Value &Body) {
  Body["settings_revision"] = Json::Int64(Figures.SettingsRevision);
  Body["targets"] = Json::UInt64(Figures.Targets);
  Body["tasks_queued"] = Json::UInt64(Figures.TasksQueued);
  Body["tasks_running"] = Json::UInt64(Figures.TasksRunning);
  Body["jobs_kept"] = Json::UInt64(Figures.JobsKept);
  Body["jobs_completed"] = Json::UInt64(Figures.JobsCompleted);
  Body["jobs_failed"] = Json::UInt64(Figures.JobsFailed);
}
} // namespace

void onStatusRequested(dispatcher_state &State, const status_requested &Event,
                       instant Now, effects &Effects) {
  Json::Value Body;
  Body["host"] = State.Init.Self.Host;
  Body["failure_domain"] = State.Init.Self.FailureDomain;
  Body["incarnation"] = std::to_string(State.Init.Self.Incarnation);
  Body["state"] = State.ShuttingDown ? "leaving" : "live";
  addTotals(figures(State), Body);
  Json::Value &Targets = Body["target_list"] = Json::Value(Json::arrayValue);
  for (const auto &[Name, Target] : State.Targets) {
    Targets.append(describeTarget(Target, Now.Boot));
  }
  Json::Value &Peers = Body["peers"] = Json::Value(Json::arrayValue);
  for (const member &Member : members(State)) {
    Peers.append(describePeer(Member, Now.Boot));
  }
  Json::Value &Teams = Body["teams"] = Json::Value(Json::arrayValue);
  for (const auto &[Name, Settings] : State.Settings.Teams) {
    Teams.append(Name);
  }
  Body["settings"] = describeSettings(State);
  Body["reasons"] = describeReasons(State.Figures.Reasons);
  Effects.emplace_back(
      answer_request{Event.Request, StatusOk, writeJson(Body), {}});
}

} // namespace tarragonbridge
