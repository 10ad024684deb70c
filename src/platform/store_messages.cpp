#include "platform/store_messages.h"

#include "base/codec.h"
#include "core/json_reader.h"
#include "core/json_text.h"

#include <charconv>

namespace tarragonbridge {

namespace {
/// Reads a 64-bit number, which the API writes as a string and leaves out
/// when it is 0. @returns nothing for any other form
std::optional<std::int64_t> readNumber(const Json::Value &Object,
                                       const char *Name) {
  const Json::Value *Value =
      Object.find(Name, Name + std::string_view(Name).size());
  if (Value == nullptr) {
    return 0;
  }
  if (Value->isInt64()) {
    return Value->asInt64();
  }
  const std::string Text = Value->isString() ? Value->asString() : "";
  std::int64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Failure] = std::from_chars(Text.data(), End, Number);
  return Failure == std::errc{} && Stop == End ? std::optional(Number)
                                               : std::nullopt;
}

std::optional<std::string> readBytes(const Json::Value &Object,
                                     const char *Name) {
  const Json::Value Value = Object.get(Name, "");
  return Value.isString() ? decodeBase64(Value.asString()) : std::nullopt;
}

bool readEntry(const Json::Value &Value, store_entry &Entry) {
  if (!Value.isObject()) {
    return false;
  }
  const auto Key = readBytes(Value, "key");
  const auto Content = readBytes(Value, "value");
  const auto ModRevision = readNumber(Value, "mod_revision");
  const auto Version = readNumber(Value, "version");
  if (!Key || Key->empty() || !Content || !ModRevision || !Version) {
    return false;
  }
  Entry = {*Key, *Content, *ModRevision, *Version};
  return true;
}

bool readEntries(const Json::Value &Values, std::vector<store_entry> &Entries) {
  if (!Values.isNull() && !Values.isArray()) {
    return false;
  }
  for (const Json::Value &Value : Values) {
    store_entry Entry;
    if (!readEntry(Value, Entry)) {
      return false;
    }
    Entries.push_back(std::move(Entry));
  }
  return true;
}

bool readHeader(const Json::Value &Message, std::int64_t &Revision) {
  if (!Message.isObject() || !Message["header"].isObject()) {
    return false;
  }
  const auto Number = readNumber(Message["header"], "revision");
  Revision = Number.value_or(0);
  return Number.has_value();
}

/// Reads what the failure branch of formatTransaction asked for.
bool readPresent(const Json::Value &Responses, store_outcome &Outcome) {
  for (const Json::Value &Response : Responses) {
    if (!Response.isObject() || !Response["response_range"].isObject() ||
        !readEntries(Response["response_range"]["kvs"], Outcome.Present)) {
      return false;
    }
  }
  return true;
}

bool readChanges(const Json::Value &Events, std::vector<store_change> &Out) {
  if (!Events.isNull() && !Events.isArray()) {
    return false;
  }
  for (const Json::Value &Event : Events) {
    store_change Change;
    if (!Event.isObject() || !readEntry(Event["kv"], Change.Entry)) {
      return false;
    }
    Change.IsDelete = Event["type"] == "DELETE";
    Out.push_back(std::move(Change));
  }
  return true;
}

Json::Value rangeRequest(std::string_view Key) {
  Json::Value Request;
  Request["request_range"]["key"] = encodeBase64(Key);
  return Request;
}
} // namespace

std::string endOfPrefix(std::string_view Prefix) {
  std::string End(Prefix);
  End.back() = static_cast<char>(End.back() + 1);
  return End;
}

std::string formatRange(std::string_view Key, std::string_view End) {
  Json::Value Request;
  Request["key"] = encodeBase64(Key);
  if (!End.empty()) {
    Request["range_end"] = encodeBase64(End);
  }
  return writeJson(Request);
}

std::string formatTransaction(const store_transaction &Transaction) {
  Json::Value Request;
  Json::Value &Success = Request["success"] = Json::Value(Json::arrayValue);
  for (const store_compare &Compare : Transaction.Compares) {
    Json::Value &Row = Request["compare"].append(Json::Value());
    Row["key"] = encodeBase64(Compare.Key);
    Row["target"] = "MOD";
    Row["result"] = "EQUAL";
    Row["mod_revision"] = std::to_string(Compare.ModRevision);
    Request["failure"].append(rangeRequest(Compare.Key));
  }
  for (const store_put &Put : Transaction.Puts) {
    Json::Value &Row =
        Success.append(Json::Value(Json::objectValue))["request_put"];
    Row["key"] = encodeBase64(Put.Key);
    Row["value"] = encodeBase64(Put.Value);
  }
  for (const std::string &Key : Transaction.Deletes) {
    Success.append(Json::Value(
        Json::objectValue))["request_delete_range"]["key"] = encodeBase64(Key);
  }
  return writeJson(Request);
}

std::string formatWatch(std::string_view Prefix, std::int64_t Start) {
  Json::Value Request;
  Json::Value &Create = Request["create_request"];
  Create["key"] = encodeBase64(Prefix);
  Create["range_end"] = encodeBase64(endOfPrefix(Prefix));
  Create["start_revision"] = std::to_string(Start);
  Create["progress_notify"] = true;
  return writeJson(Request);
}

std::optional<store_range> parseRange(std::string_view Body) {
  const json_document Document(Body, json_comments::Refused);
  store_range Range;
  if (!Document.isValid() || !readHeader(Document.root(), Range.Revision) ||
      !readEntries(Document.root()["kvs"], Range.Entries)) {
    return std::nullopt;
  }
  return Range;
}

std::optional<store_outcome> parseOutcome(std::string_view Body) {
  const json_document Document(Body, json_comments::Refused);
  const Json::Value &Root = Document.root();
  store_outcome Outcome;
  if (!Document.isValid() || !readHeader(Root, Outcome.Revision)) {
    return std::nullopt;
  }
  // The API leaves out a field that is false.
  const Json::Value Succeeded = Root.get("succeeded", false);
  if (!Succeeded.isBool()) {
    return std::nullopt;
  }
  Outcome.Succeeded = Succeeded.asBool();
  if (!Outcome.Succeeded && !readPresent(Root["responses"], Outcome)) {
    return std::nullopt;
  }
  return Outcome;
}

std::optional<watch_message> parseWatchMessage(std::string_view Line) {
  const json_document Document(Line, json_comments::Refused);
  if (!Document.isValid() || !Document.root().isObject()) {
    return std::nullopt;
  }
  const Json::Value &Result = Document.root()["result"];
  watch_message Message;
  if (!readHeader(Result, Message.Revision)) {
    return std::nullopt;
  }
  const auto Compacted = readNumber(Result, "compact_revision");
  if (!Compacted || !readChanges(Result["events"], Message.Changes)) {
    return std::nullopt;
  }
  Message.CompactRevision = *Compacted;
  Message.Created = Result["created"] == true;
  Message.Canceled = Result["canceled"] == true;
  return Message;
}

} // namespace tarragonbridge
