#include "platform/store_client.h"

#include "base/codec.h"
#include "core/json_reader.h"

#include <charconv>

namespace tarragonbridge {

namespace {
constexpr int StatusOk = 200;

/// @returns the first key after all keys with the prefix
std::string endOfPrefix(std::string_view Prefix) {
  std::string End(Prefix);
  End.back() = static_cast<char>(End.back() + 1);
  return End;
}

/// Reads a 64-bit number, which the API writes as a string.
std::int64_t readNumber(const Json::Value &Value) {
  if (Value.isInt64()) {
    return Value.asInt64();
  }
  const std::string Text = Value.isString() ? Value.asString() : "";
  std::int64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

bool readEntry(const Json::Value &Value, store_entry &Entry) {
  if (!Value.isObject() || !Value["key"].isString()) {
    return false;
  }
  const auto Key = decodeBase64(Value["key"].asString());
  const auto Content =
      decodeBase64(Value["value"].isString() ? Value["value"].asString() : "");
  if (!Key || !Content) {
    return false;
  }
  Entry = {*Key, *Content, readNumber(Value["mod_revision"]),
           readNumber(Value["version"])};
  return true;
}

bool readRange(std::string_view Body, store_range &Range) {
  const json_document Document(Body, json_comments::Refused);
  const Json::Value &Root = Document.root();
  if (!Document.isValid() || !Root.isObject() || !Root["header"].isObject()) {
    return false;
  }
  Range.Revision = readNumber(Root["header"]["revision"]);
  for (const Json::Value &Value : Root["kvs"]) {
    store_entry Entry;
    if (!readEntry(Value, Entry)) {
      return false;
    }
    Range.Entries.push_back(std::move(Entry));
  }
  return true;
}
} // namespace

store_client::store_client(http_client &Client,
                           std::vector<std::string> Addresses)
    : Client(Client), Addresses(std::move(Addresses)) {}

result<store_range> store_client::range(std::string_view Prefix) {
  const std::string &Address = Addresses.at(Current);
  http_call Call;
  Call.Url = "http://" + Address + "/v3/kv/range";
  Call.Body = R"({"key":")" + encodeBase64(Prefix) + R"(","range_end":")" +
              encodeBase64(endOfPrefix(Prefix)) + R"("})";
  const http_result Answer = sendAndWait(Client, std::move(Call));
  store_range Range;
  if (Answer.Status == StatusOk && readRange(Answer.Body, Range)) {
    return Range;
  }
  Current = (Current + 1) % Addresses.size();
  const std::string Message = Answer.Status == 0
                                  ? Answer.Error
                                  : "status " + std::to_string(Answer.Status);
  return boost::leaf::new_error(
      error{"read store", Address, reason::HomeUnreachable, Message});
}

} // namespace tarragonbridge
