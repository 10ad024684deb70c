#include "tarragonbridge/settings_document.h"

#include "core/json_reader.h"
#include "core/json_text.h"
#include "tarragonbridge/config.h"
#include "tarragonbridge/settings.h"

#include <algorithm>
#include <xxhash.h>

namespace tarragonbridge {

namespace {
boost::leaf::error_id refuse(std::string_view Step, std::string Message) {
  return boost::leaf::new_error(
      error{std::string(Step), "", reason::Malformed, std::move(Message)});
}

Json::Value describeVersion(const settings_version &Version) {
  Json::Value Row;
  Json::Value &Edit = Row["edit"];
  Edit["id"] = Version.Edit.Id;
  Edit["by"] = Version.Edit.By;
  Edit["at_ms"] = Json::Int64(Version.Edit.At.time_since_epoch().count());
  Edit["why"] = Version.Edit.Why;
  Edit["revision"] = Json::Int64(Version.Revision);
  Row["text"] = Version.Text;
  return Row;
}

void readEdit(json_document &Document, const Json::Value &Value,
              const std::string &Path, settings_version &Version) {
  object_reader Reader(Document, Value, Path);
  milliseconds At{};
  Reader.optional("id", Version.Edit.Id);
  Reader.optional("by", Version.Edit.By);
  Reader.optional("at_ms", At);
  Reader.optional("why", Version.Edit.Why);
  Reader.optional("revision", Version.Revision);
  Reader.finish();
  Version.Edit.At = wall_time(At);
  if (Version.Revision < 0) {
    Document.addFault(Reader.pathOf("revision"), &Value, "at least 0");
  }
}

/// Reads "edit" and "text" or "settings".
void readVersion(json_document &Document, object_reader &Reader,
                 settings_version &Version) {
  if (const Json::Value *Edit = Reader.find("edit")) {
    readEdit(Document, *Edit, Reader.pathOf("edit"), Version);
  }
  const Json::Value *Settings = Reader.find("settings");
  const bool HasText = Reader.optional("text", Version.Text);
  if (!HasText && Settings == nullptr) {
    Document.addFault(Reader.pathOf("settings"), nullptr,
                      "an object, it is required");
  } else if (!HasText) {
    Version.Text = Document.textOf(*Settings);
  }
}

void readHistory(json_document &Document, const Json::Value *History,
                 std::vector<settings_version> &Out) {
  if (History == nullptr) {
    return;
  }
  if (!History->isArray()) {
    Document.addFault("history", History, "a list");
    return;
  }
  for (const Json::Value &Row : *History) {
    object_reader Reader(Document, Row,
                         "history[" + std::to_string(Out.size()) + "]");
    readVersion(Document, Reader, Out.emplace_back());
    Reader.finish();
  }
}

void readPeerDocument(json_document &Document, const Json::Value &Row,
                      std::size_t Index, settings_snapshot &Snapshot) {
  object_reader Reader(Document, Row,
                       "documents[" + std::to_string(Index) + "]");
  settings_document Out;
  Reader.required("path", Out.Path);
  readVersion(Document, Reader, Out.Present);
  Reader.finish();
  if (!isValidSettingsPath(Out.Path)) {
    Document.addFault(Reader.pathOf("path"), &Row, "a path of settings");
  }
  if (Out.Present.Revision <= 0) {
    Document.addFault(Reader.pathOf("edit.revision"), &Row, "at least 1");
  }
  Snapshot.Documents[Out.Path] = std::move(Out);
}
} // namespace

result<settings_document> parseStoredDocument(std::string_view Path,
                                              std::int64_t ModRevision,
                                              std::string_view Value) {
  constexpr std::string_view Step = "parse stored settings";
  if (!isValidSettingsPath(Path)) {
    return refuse(Step, "not a path of settings");
  }
  json_document Document(Value, json_comments::Allowed);
  if (!Document.isValid()) {
    return refuse(Step, Document.faults());
  }
  settings_document Out;
  Out.Path = Path;
  object_reader Reader(Document, Document.root(), "");
  readVersion(Document, Reader, Out.Present);
  readHistory(Document, Reader.find("history"), Out.History);
  Reader.finish();
  if (!Document.isValid()) {
    return refuse(Step, Document.faults());
  }
  if (Out.Present.Revision == 0) {
    Out.Present.Revision = ModRevision;
  }
  return Out;
}

std::string formatStoredDocument(const settings_document &Document) {
  Json::Value Value = describeVersion(Document.Present);
  std::size_t Bytes = writeJson(Value).size();
  for (const settings_version &Version : Document.History) {
    Json::Value Row = describeVersion(Version);
    Bytes += writeJson(Row).size();
    if (Bytes > config::MaxStoredBytes) {
      break;
    }
    Value["history"].append(std::move(Row));
  }
  return writeJson(Value);
}

settings_document nextVersion(const settings_document &Base,
                              std::int64_t ModRevision, settings_edit Edit,
                              std::string Text) {
  settings_document Next;
  Next.Path = Base.Path;
  Next.Present.Revision = std::max(Base.Present.Revision, ModRevision) + 1;
  Next.Present.Edit = std::move(Edit);
  Next.Present.Text = std::move(Text);
  if (Base.Present.Revision != 0) {
    Next.History.push_back(Base.Present);
    Next.History.insert(Next.History.end(), Base.History.begin(),
                        Base.History.end());
  }
  if (Next.History.size() > config::MaxSettingsHistory) {
    Next.History.resize(config::MaxSettingsHistory);
  }
  return Next;
}

result<settings_snapshot> parseSnapshot(std::string_view Text) {
  constexpr std::string_view Step = "parse settings of a peer";
  json_document Document(Text, json_comments::Refused);
  settings_snapshot Snapshot;
  if (Document.isValid()) {
    object_reader Reader(Document, Document.root(), "");
    const Json::Value *Rows = Reader.find("documents");
    Reader.finish();
    if (Rows == nullptr || !Rows->isArray()) {
      Document.addFault("documents", Rows, "a list");
    } else {
      for (Json::ArrayIndex Index = 0; Index < Rows->size(); ++Index) {
        readPeerDocument(Document, (*Rows)[Index], Index, Snapshot);
      }
    }
  }
  if (!Document.isValid()) {
    return refuse(Step, Document.faults());
  }
  return Snapshot;
}

std::string formatSnapshot(const settings_snapshot &Snapshot) {
  Json::Value Value;
  Json::Value &Rows = Value["documents"] = Json::Value(Json::arrayValue);
  for (const auto &[Path, Document] : Snapshot.Documents) {
    Json::Value Row = describeVersion(Document.Present);
    Row["path"] = Path;
    Rows.append(std::move(Row));
  }
  return writeJson(Value);
}

settings_revisions revisionsOf(const settings_snapshot &Snapshot) {
  settings_revisions Revisions;
  for (const auto &[Path, Document] : Snapshot.Documents) {
    Revisions.emplace(Path, Document.Present.Revision);
  }
  return Revisions;
}

settings_snapshot newerThan(const settings_snapshot &Snapshot,
                            const settings_revisions &Known) {
  settings_snapshot Newer;
  for (const auto &[Path, Document] : Snapshot.Documents) {
    const auto Found = Known.find(Path);
    if (Found == Known.end() || Found->second < Document.Present.Revision) {
      Newer.Documents.emplace(Path, Document);
    }
  }
  return Newer;
}

std::uint64_t digestOf(const settings_revisions &Revisions) {
  std::string Text;
  for (const auto &[Path, Revision] : Revisions) {
    Text += Path + " " + std::to_string(Revision) + "\n";
  }
  return XXH3_64bits(Text.data(), Text.size());
}

} // namespace tarragonbridge
