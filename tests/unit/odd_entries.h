/// Texts of the store's entries and lists, with members as a test wants them.
#pragma once

#include "base/codec.h"

#include <map>
#include <string>
#include <vector>

namespace tarragonbridge {

using fields = std::map<std::string, std::string>;

/// @returns a JSON object of members, some of them replaced or, if empty, left
/// out
inline std::string objectText(fields Members, const fields &Replaced) {
  for (const auto &[Name, Text] : Replaced) {
    Members[Name] = Text;
  }
  std::string Value;
  for (const auto &[Name, Text] : Members) {
    if (!Text.empty()) {
      Value.append(Value.empty() ? "{" : ",");
      Value.append("\"").append(Name).append("\":").append(Text);
    }
  }
  return Value + "}";
}

/// @returns the value of a target's item, with some members replaced or, if
/// empty, left out
inline std::string targetValue(const fields &Replaced) {
  fields Members{{"service", R"("desk")"},
                 {"address", R"("10.1.1.1:80")"},
                 {"zone", R"("east")"},
                 {"state", R"("ready")"},
                 {"capacity", R"({"cpu":32000,"memMb":65536,"gpu":0})"},
                 {"labels", R"(["a","r1"])"},
                 {"born", "1796000000000"},
                 {"sequence", "4"}};
  return objectText(std::move(Members), Replaced);
}

inline std::string capacityOf(const std::string &Cpu) {
  return R"({"cpu":)" + Cpu + R"(,"memMb":64,"gpu":0})";
}

inline std::string nested(std::size_t Levels) {
  return std::string(Levels, '[') + std::string(Levels, ']');
}

inline std::string nestedObjects(std::size_t Levels) {
  std::string Text;
  for (std::size_t Level = 0; Level < Levels; ++Level) {
    Text += R"({"a":)";
  }
  return Text + "0" + std::string(Levels, '}');
}

/// @returns the value of a host's item, with some members replaced
inline std::string memberValue(const fields &Replaced) {
  fields Members{{"host", R"("h2")"},
                 {"incarnation", "1796000000000"},
                 {"address", R"("10.1.1.2:7720")"},
                 {"failure_domain", R"("east")"}};
  return objectText(std::move(Members), Replaced);
}

/// @param[in] QuotedKey with its quotation marks
inline std::string itemText(const std::string &QuotedKey,
                            const std::string &Value, std::uint64_t Revision) {
  return R"({"key":)" + QuotedKey + R"(,"value":")" + encodeBase64(Value) +
         R"(","revision":)" + std::to_string(Revision) + "}";
}
inline std::string listText(const std::string &Name,
                            const std::vector<std::string> &Items,
                            std::uint64_t At, bool IsTruncated = false) {
  std::string Text;
  for (const std::string &Item : Items) {
    Text += (Text.empty() ? "" : ",") + Item;
  }
  return R"({")" + Name + R"(":[)" + Text + R"(],"at":)" + std::to_string(At) +
         (IsTruncated ? R"(,"truncated":true})" : "}");
}

} // namespace tarragonbridge
