/// Reading of peers' messages: routes, and lists of rows by position.
#pragma once

#include "core/json_reader.h"
#include "tarragonbridge/peer_events.h"

#include <string>
#include <utility>
#include <vector>

namespace tarragonbridge {

/// Reads the members of one JSON array by position.
class row_reader {
public:
  row_reader(json_document &Document, const Json::Value &Row, std::string Path)
      : Document(Document), Row(Row), Path(std::move(Path)) {}

  bool hasSize(Json::ArrayIndex Size) {
    if (Row.isArray() && Row.size() == Size) {
      return true;
    }
    return fail("a list of " + std::to_string(Size));
  }
  std::string text(Json::ArrayIndex Index) {
    if (!Row[Index].isString()) {
      fail("a string at " + std::to_string(Index));
      return "";
    }
    return Row[Index].asString();
  }
  std::int64_t number(Json::ArrayIndex Index) {
    constexpr std::int64_t MaxNumber = 1LL << 50U;
    const Json::Value &Value = Row[Index];
    if (!Value.isInt64() || Value.asInt64() < 0 ||
        Value.asInt64() > MaxNumber) {
      fail("a number at " + std::to_string(Index));
      return 0;
    }
    return Value.asInt64();
  }
  bool boolean(Json::ArrayIndex Index) {
    return Row[Index].isBool()
               ? Row[Index].asBool()
               : fail("a truth value at " + std::to_string(Index));
  }
  bool fail(const std::string &Expected) {
    Document.addFault(Path, &Row, Expected);
    return false;
  }

private:
  json_document &Document;
  const Json::Value &Row;
  std::string Path;
};

inline void readIdentity(json_document &Document, object_reader &Reader,
                         const char *Name, host_identity &Out) {
  std::string Text;
  if (!Reader.required(Name, Text)) {
    return;
  }
  if (const auto Identity = parseIdentity(Text)) {
    Out = *Identity;
    return;
  }
  Document.addFault(Name, nullptr, "<failure_domain>.<host>.<incarnation>");
}

inline peer_route readRoute(json_document &Document, object_reader &Reader) {
  peer_route Route;
  readIdentity(Document, Reader, "from", Route.From);
  readIdentity(Document, Reader, "to", Route.To);
  return Route;
}

inline Json::Value writeRoute(const peer_route &Route) {
  Json::Value Root(Json::objectValue);
  Root["from"] = formatIdentity(Route.From);
  Root["to"] = formatIdentity(Route.To);
  return Root;
}

/// Reads a list of rows with a function for each.
template <class T, class Read>
void readRows(json_document &Document, object_reader &Reader, const char *Name,
              std::size_t MaxRows, std::vector<T> &Out, Read &&ReadRow) {
  const Json::Value *List = Reader.find(Name);
  if (List == nullptr || !List->isArray() || List->size() > MaxRows) {
    Document.addFault(Name, List,
                      "a list of at most " + std::to_string(MaxRows));
    return;
  }
  for (Json::ArrayIndex Index = 0; Index < List->size(); ++Index) {
    const std::string Path =
        std::string(Name) + "[" + std::to_string(Index) + "]";
    Out.push_back(ReadRow(Document, (*List)[Index], Path));
  }
}

/// Parses a document of one object with a function that reads its members.
template <class T, class Read>
result<T> parseObject(std::string_view Text, Read &&ReadMembers) {
  json_document Document(Text, json_comments::Refused);
  T Out;
  if (Document.isValid()) {
    object_reader Reader(Document, Document.root(), "");
    ReadMembers(Document, Reader, Out);
    Reader.finish();
  }
  if (!Document.isValid()) {
    return boost::leaf::new_error(error{"parse peer message", "peer",
                                        reason::PeerMalformed,
                                        Document.faults()});
  }
  return Out;
}
} // namespace tarragonbridge
