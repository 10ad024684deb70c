#include "tarragonbridge/settings.h"

#include "core/json_reader.h"

namespace tarragonbridge {

namespace {
constexpr std::uint32_t MaxUrgency = 9;

void readRoot(json_document &Document, settings_tree &Tree) {
  object_reader Reader(Document, Document.root(), "");
  Reader.optional("failure_domains", Tree.FailureDomains);
  Reader.finish();
}

void readTeam(json_document &Document, team_settings &Team) {
  object_reader Reader(Document, Document.root(), "");
  Reader.optional("max_running_tasks", Team.MaxRunningTasks);
  if (Reader.optional("urgency", Team.Urgency) && Team.Urgency > MaxUrgency) {
    Document.addFault("urgency", nullptr, "an integer from 0 to 9");
  }
  Reader.finish();
}
} // namespace

settings_tree defaultSettings(std::string_view FailureDomain) {
  settings_tree Tree;
  Tree.FailureDomains.emplace_back(FailureDomain);
  Tree.Teams.emplace("default", team_settings{});
  return Tree;
}

result<settings_tree>
parseSettings(std::int64_t Revision,
              const std::vector<settings_document> &Documents,
              std::string_view OwnFailureDomain) {
  settings_tree Tree = defaultSettings(OwnFailureDomain);
  Tree.Revision = Revision;
  std::string Faults;
  for (const settings_document &Stored : Documents) {
    json_document Document(Stored.Text, json_comments::Allowed);
    if (Document.isValid() && Stored.Path.empty()) {
      readRoot(Document, Tree);
    } else if (Document.isValid()) {
      readTeam(Document, Tree.Teams[Stored.Path]);
    }
    if (!Document.isValid()) {
      Faults +=
          (Faults.empty() ? "" : "\n") + Stored.Path + ": " + Document.faults();
    }
  }
  if (!Faults.empty()) {
    return boost::leaf::new_error(
        error{"parse settings", "store", reason::Malformed, Faults});
  }
  return Tree;
}

} // namespace tarragonbridge
