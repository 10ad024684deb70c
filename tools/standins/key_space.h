/// Keys of the store stand-in, with the revisions of the published API.
#pragma once

#include <cstdint>
#include <json/json.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge::standins {

/// A range of keys as requests write it; an empty end means the key alone.
struct key_range {
  std::string Key;
  std::string End;

  bool holds(std::string_view Other) const {
    return End.empty() ? Other == Key : Other >= Key && Other < End;
  }
};

key_range readKeyRange(const Json::Value &Request);

class key_space {
public:
  Json::Value range(const Json::Value &Request) const;
  Json::Value put(const Json::Value &Request);
  Json::Value deleteRange(const Json::Value &Request);
  Json::Value transact(const Json::Value &Request);
  /// @returns the first word of a transaction that isn't known here, or nothing
  static std::string findUnknown(const Json::Value &Transaction);
  /// Forgets the changes up to a revision.
  Json::Value compact(const Json::Value &Request);
  /// Goes back to the state at an earlier revision, as a restored copy does.
  void restore(std::int64_t Earlier);

  /// @returns the changes of a range from a revision on, as watch events
  Json::Value changesSince(const key_range &Range, std::int64_t Start) const;

  Json::Value header() const;
  std::int64_t revision() const { return Revision; }
  std::int64_t compactRevision() const { return Compacted; }

private:
  struct stored_value {
    std::string Value;
    std::int64_t CreateRevision = 0;
    std::int64_t ModRevision = 0;
    std::int64_t Version = 0; ///< 0: deleted
  };
  struct change {
    std::string Key;
    stored_value After;
  };

  static Json::Value describeEntry(const std::string &Key,
                                   const stored_value &Stored);
  void apply(const Json::Value &Put);
  Json::Value erase(const key_range &Range);
  Json::Value applyOperation(const Json::Value &Operation);
  bool compareHolds(const Json::Value &Compare) const;

  std::map<std::string, stored_value> Stored;
  std::vector<change> Changes; ///< in order of their revisions
  std::int64_t Revision = 1;
  std::int64_t Compacted = 0;
};

} // namespace tarragonbridge::standins
