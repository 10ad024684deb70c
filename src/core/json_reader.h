/// Strict reading of JSON documents into aggregates, collecting every fault.
#pragma once

#include "tarragonbridge/error.h"

#include <json/json.h>

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge {

/// Whether a document may hold comments, as settings may.
enum class json_comments : std::uint8_t { Refused, Allowed };

/// A parsed document together with its text, which values point into.
class json_document {
public:
  /// Parses a text. Syntax faults are added to the list of faults.
  json_document(std::string_view Text, json_comments Comments);

  const Json::Value &root() const { return Root; }
  /// @returns the part of the text that a value was read from
  std::string_view textOf(const Json::Value &Value) const;
  /// Adds a fault: path, line and what was expected.
  void addFault(std::string_view Path, const Json::Value *Where,
                std::string_view Expected);
  bool isValid() const { return Faults.empty(); }
  /// @returns the faults, a line each
  std::string faults() const;

private:
  std::size_t lineOf(const Json::Value &Value) const;

  std::string_view Text;
  Json::Value Root;
  std::vector<std::string> Faults;
};

/// Reads the members of one object. Members that no call asked for are faults.
class object_reader {
public:
  object_reader(json_document &Document, const Json::Value &Object,
                std::string Path);

  /// @returns the member, or nullptr when it is absent or null
  const Json::Value *find(const char *Name);
  std::string pathOf(std::string_view Name) const;

  template <class T> bool required(const char *Name, T &Out) {
    if (optional(Name, Out)) {
      return true;
    }
    if (!Present) {
      Document.addFault(pathOf(Name), nullptr, "a value, it is required");
    }
    return false;
  }

  /// Reads a member if it is there. @returns whether Out was set
  template <class T> bool optional(const char *Name, T &Out) {
    const Json::Value *Value = find(Name);
    Present = Value != nullptr;
    return Present && convert(*Value, pathOf(Name), Out);
  }

  /// Reports the members that were not asked for.
  void finish();

private:
  bool convert(const Json::Value &Value, const std::string &Path,
               std::string &Out);
  bool convert(const Json::Value &Value, const std::string &Path, bool &Out);
  bool convert(const Json::Value &Value, const std::string &Path,
               std::vector<std::string> &Out);
  bool convertInteger(const Json::Value &Value, const std::string &Path,
                      std::int64_t Least, std::int64_t Most, std::int64_t &Out);

  template <std::integral T>
  bool convert(const Json::Value &Value, const std::string &Path, T &Out) {
    constexpr std::int64_t Most = static_cast<std::int64_t>(
        std::min<std::uint64_t>(std::numeric_limits<T>::max(),
                                std::numeric_limits<std::int64_t>::max()));
    constexpr std::int64_t Least = std::signed_integral<T> ? -Most : 0;
    std::int64_t Wide = 0;
    if (!convertInteger(Value, Path, Least, Most, Wide)) {
      return false;
    }
    Out = static_cast<T>(Wide);
    return true;
  }

  bool convert(const Json::Value &Value, const std::string &Path,
               std::chrono::milliseconds &Out) {
    // Times past this bound would overflow when clocks are added.
    constexpr std::int64_t MaxMilliseconds = 1LL << 50U;
    std::int64_t Count = 0;
    if (!convertInteger(Value, Path, 0, MaxMilliseconds, Count)) {
      return false;
    }
    Out = std::chrono::milliseconds(Count);
    return true;
  }

  json_document &Document;
  const Json::Value &Object;
  std::string Path;
  std::set<std::string, std::less<>> Known;
  bool Present = false;
};

} // namespace tarragonbridge
