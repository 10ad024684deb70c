#include "core/json_text.h"
#include "core/peer_codec_p.h"
#include "core/peer_rows_p.h"
#include "tarragonbridge/config.h"

#include <array>
#include <utility>

namespace tarragonbridge {

namespace {
using named_load = std::pair<std::string, team_load>;

/// Demands of a team in the order of a row.
constexpr std::array<share_demand team_load::*, 5> Demands{
    &team_load::Tasks, &team_load::Starts, &team_load::Cores,
    &team_load::MemoryMb, &team_load::Accelerators};

/// Writes [team, then wanted, in use and largest need of each demand].
Json::Value writeTeam(const std::string &Name, const team_load &Load) {
  Json::Value Row(Json::arrayValue);
  Row.append(Name);
  for (const auto Demand : Demands) {
    Row.append(Json::UInt64((Load.*Demand).Wanted));
    Row.append(Json::UInt64((Load.*Demand).InUse));
    Row.append(Json::UInt64((Load.*Demand).LargestNeed));
  }
  return Row;
}

named_load readTeam(json_document &Document, const Json::Value &Value,
                    const std::string &Path) {
  constexpr Json::ArrayIndex Columns = 3;
  row_reader Row(Document, Value, Path);
  named_load Team;
  if (!Row.hasSize(1 + Columns * Demands.size())) {
    return Team;
  }
  Team.first = Row.text(0);
  Json::ArrayIndex Column = 1;
  for (const auto Demand : Demands) {
    share_demand &Out = Team.second.*Demand;
    Out.Wanted = static_cast<std::uint64_t>(Row.number(Column));
    Out.InUse = static_cast<std::uint64_t>(Row.number(Column + 1));
    Out.LargestNeed = static_cast<std::uint64_t>(Row.number(Column + 2));
    Column += Columns;
  }
  return Team;
}
} // namespace

std::string write(const heartbeat_message &Message) {
  Json::Value Root = writeRoute(Message.Route);
  Root["view"] = Json::UInt64(Message.Beat.ViewVersion);
  Root["settings"] = Json::Int64(Message.Beat.SettingsRevision);
  Root["queued"] = Json::UInt64(Message.Beat.QueuedTasks);
  Root["running"] = Json::UInt64(Message.Beat.RunningTasks);
  Root["leaving"] = Message.Beat.Leaving;
  Root["wanted"] = Json::UInt64(Message.Beat.Load.WantedSlots);
  Json::Value &List = Root["teams"] = Json::Value(Json::arrayValue);
  for (const auto &[Name, Load] : Message.Beat.Load.Teams) {
    List.append(writeTeam(Name, Load));
  }
  return writeJson(Root);
}

result<heartbeat_message> parseHeartbeat(std::string_view Text) {
  return parseObject<heartbeat_message>(Text, [](json_document &Document,
                                                 object_reader &Reader,
                                                 heartbeat_message &Out) {
    Out.Route = readRoute(Document, Reader);
    Reader.required("view", Out.Beat.ViewVersion);
    Reader.required("settings", Out.Beat.SettingsRevision);
    Reader.required("queued", Out.Beat.QueuedTasks);
    Reader.required("running", Out.Beat.RunningTasks);
    Reader.required("leaving", Out.Beat.Leaving);
    Reader.required("wanted", Out.Beat.Load.WantedSlots);
    std::vector<named_load> Teams;
    readRows(Document, Reader, "teams", config::MaxTeamsPerHeartbeat, Teams,
             readTeam);
    for (named_load &Team : Teams) {
      Out.Beat.Load.Teams.insert(std::move(Team));
    }
  });
}

} // namespace tarragonbridge
