#include "core/json_reader.h"

#include "core/json_separators.h"
#include "tarragonbridge/config.h"

#include <algorithm>
#include <memory>

namespace tarragonbridge {

namespace {
Json::CharReaderBuilder strictReader(json_comments Comments) {
  Json::CharReaderBuilder Builder;
  Json::CharReaderBuilder::strictMode(&Builder.settings_);
  Builder["allowComments"] = Comments == json_comments::Allowed;
  Builder["collectComments"] = false;
  Builder["strictRoot"] = true;
  Builder["rejectDupKeys"] = true;
  Builder["failIfExtra"] = true;
  Builder["stackLimit"] = static_cast<Json::Int>(config::MaxJsonDepth);
  return Builder;
}
} // namespace

json_document::json_document(std::string_view Text, json_comments Comments)
    : Text(Text) {
  if (hasMoreSeparators(Text, config::MaxJsonValues)) {
    Faults.emplace_back("too many values");
    return;
  }
  const std::unique_ptr<Json::CharReader> Reader(
      strictReader(Comments).newCharReader());
  std::string SyntaxFaults;
  try {
    if (Reader->parse(Text.data(), Text.data() + Text.size(), &Root,
                      &SyntaxFaults)) {
      return;
    }
  } catch (const Json::Exception &Thrown) {
    SyntaxFaults = Thrown.what();
  }
  while (!SyntaxFaults.empty() && SyntaxFaults.back() == '\n') {
    SyntaxFaults.pop_back();
  }
  Root = Json::Value();
  Faults.push_back(SyntaxFaults.empty() ? "not JSON" : SyntaxFaults);
}

std::string_view json_document::textOf(const Json::Value &Value) const {
  const auto Start = static_cast<std::size_t>(Value.getOffsetStart());
  const auto Limit = static_cast<std::size_t>(Value.getOffsetLimit());
  return Text.substr(Start, Limit - Start);
}

std::size_t json_document::lineOf(const Json::Value &Value) const {
  const auto End = Text.begin() + Value.getOffsetStart();
  return 1 + static_cast<std::size_t>(std::count(Text.begin(), End, '\n'));
}

void json_document::addFault(std::string_view Path, const Json::Value *Where,
                             std::string_view Expected) {
  std::string Line(Path.empty() ? "document" : Path);
  if (Where != nullptr) {
    Line += " (line " + std::to_string(lineOf(*Where)) + ")";
  }
  Line += ": expected ";
  Line += Expected;
  Faults.push_back(std::move(Line));
}

std::string json_document::faults() const {
  std::string All;
  for (const std::string &Fault : Faults) {
    All += All.empty() ? "" : "\n";
    All += Fault;
  }
  return All;
}

object_reader::object_reader(json_document &Document, const Json::Value &Object,
                             std::string Path)
    : Document(Document), Object(Object), Path(std::move(Path)) {
  if (!Object.isObject() && Document.isValid()) {
    Document.addFault(this->Path, &Object, "an object");
  }
}

std::string object_reader::pathOf(std::string_view Name) const {
  return Path.empty() ? std::string(Name) : Path + "." + std::string(Name);
}

const Json::Value *object_reader::find(const char *Name) {
  Known.emplace(Name);
  if (!Object.isObject()) {
    return nullptr;
  }
  const Json::Value *Value =
      Object.find(Name, Name + std::string_view(Name).size());
  return Value == nullptr || Value->isNull() ? nullptr : Value;
}

void object_reader::finish() {
  if (!Object.isObject()) {
    return;
  }
  for (const std::string &Name : Object.getMemberNames()) {
    if (!Known.contains(Name)) {
      Document.addFault(pathOf(Name), &Object[Name], "no such field");
    }
  }
}

bool object_reader::convert(const Json::Value &Value, const std::string &Path,
                            std::string &Out) {
  if (!Value.isString()) {
    Document.addFault(Path, &Value, "a string");
    return false;
  }
  Out = Value.asString();
  return true;
}

bool object_reader::convert(const Json::Value &Value, const std::string &Path,
                            bool &Out) {
  if (!Value.isBool()) {
    Document.addFault(Path, &Value, "true or false");
    return false;
  }
  Out = Value.asBool();
  return true;
}

bool object_reader::convert(const Json::Value &Value, const std::string &Path,
                            std::vector<std::string> &Out) {
  const bool AllStrings =
      Value.isArray() &&
      std::all_of(Value.begin(), Value.end(),
                  [](const Json::Value &V) { return V.isString(); });
  if (!AllStrings) {
    Document.addFault(Path, &Value, "a list of strings");
    return false;
  }
  Out.clear();
  for (const Json::Value &Element : Value) {
    Out.push_back(Element.asString());
  }
  return true;
}

bool object_reader::convertInteger(const Json::Value &Value,
                                   const std::string &Path, std::int64_t Least,
                                   std::int64_t Most, std::int64_t &Out) {
  const bool IsNumber = Value.isInt64() && Value.type() != Json::realValue;
  if (!IsNumber || Value.asInt64() < Least || Value.asInt64() > Most) {
    Document.addFault(Path, &Value,
                      "an integer from " + std::to_string(Least) + " to " +
                          std::to_string(Most));
    return false;
  }
  Out = Value.asInt64();
  return true;
}

} // namespace tarragonbridge
