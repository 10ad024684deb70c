#include "daemon/operator_answers_p.h"

#include "core/json_text.h"

#include <algorithm>

namespace tarragonbridge {

namespace {
Json::Value describeVersion(const settings_version &Version) {
  Json::Value Row;
  Row["revision"] = Json::Int64(Version.Revision);
  Row["id"] = Version.Edit.Id;
  Row["by"] = Version.Edit.By;
  Row["at_ms"] = Json::Int64(Version.Edit.At.time_since_epoch().count());
  Row["why"] = Version.Edit.Why;
  Row["text"] = Version.Text;
  return Row;
}

http_response withETag(int Status, const Json::Value &Body,
                       std::int64_t Revision) {
  return {Status,
          writeJson(Body),
          {{"ETag", "\"" + std::to_string(Revision) + "\""}},
          "application/json"};
}
} // namespace

http_response subtreeResponse(const settings_document &Document,
                              bool FromStore) {
  Json::Value Body = describeVersion(Document.Present);
  Body["path"] = Document.Path;
  Body["source"] = FromStore ? "store" : "host";
  return withETag(200, Body, Document.Present.Revision);
}

http_response historyResponse(const settings_document &Document) {
  Json::Value Body;
  Body["path"] = Document.Path;
  Json::Value &Rows = Body["versions"] = Json::Value(Json::arrayValue);
  Rows.append(describeVersion(Document.Present));
  for (const settings_version &Version : Document.History) {
    Rows.append(describeVersion(Version));
  }
  return withETag(200, Body, Document.Present.Revision);
}

http_response effectiveResponse(const settings_snapshot &Snapshot,
                                const std::string &Path) {
  Json::Value Body;
  Body["path"] = Path;
  const effective_values Values = effectiveValues(Snapshot, Path);
  for (std::size_t Index = 0; Index < SettingsFieldCount; ++Index) {
    const settings_field &Field = settingsFields().at(Index);
    const effective_value &Value = Values.at(Index);
    Json::Value &Row = Body["values"][std::string(Field.Name)];
    const bool IsUnlimited = Field.IsLimit && !Value.Origin;
    Row["value"] =
        IsUnlimited ? Json::Value() : Json::Value(Json::UInt64(Value.Value));
    Row["unit"] = std::string(Field.Unit);
    Row["origin"] = !Value.Origin           ? "default"
                    : Value.Origin->empty() ? "/"
                                            : *Value.Origin;
  }
  return {200, writeJson(Body), {}, "application/json"};
}

http_response conflictResponse(const settings_document &Present) {
  Json::Value Body = describeVersion(Present.Present);
  const reason_info &Info = describe(reason::RevisionChanged);
  Body["path"] = Present.Path;
  Body["state"] = "refused";
  Body["reason"] = std::string(Info.Name);
  Body["message"] = std::string(Info.Text);
  return withETag(Info.HttpStatus, Body, Present.Present.Revision);
}

http_response faultResponse(const error &Error) {
  Json::Value Body;
  const reason_info &Info = describe(Error.Reason);
  Body["state"] = "refused";
  Body["reason"] = std::string(Info.Name);
  Body["accepted"] =
      Error.Reason == reason::StoreOutcomeUnknown ? "unknown" : "no";
  Body["step"] = Error.Step;
  Body["peer"] = Error.Peer;
  Body["message"] = Error.Message;
  return {Info.HttpStatus, writeJson(Body), {}, "application/json"};
}

edit_fate judgeEdit(const settings_document &Present,
                    const settings_version &Base, const std::string &EditId) {
  const auto HasEdit = [&](const settings_version &Version) {
    return Version.Edit.Id == EditId;
  };
  if (HasEdit(Present.Present) ||
      std::any_of(Present.History.begin(), Present.History.end(), HasEdit)) {
    return edit_fate::Accepted;
  }
  // Each version names the one that it replaced, so a history that reaches
  // back to the base would hold the edit.
  const auto IsBase = [&](const settings_version &Version) {
    return Version == Base;
  };
  const bool ReachesBase =
      IsBase(Present.Present) ||
      std::any_of(Present.History.begin(), Present.History.end(), IsBase) ||
      (Base.Revision == 0 &&
       Present.History.size() < config::MaxSettingsHistory);
  return ReachesBase ? edit_fate::Refused : edit_fate::Unknown;
}

} // namespace tarragonbridge
