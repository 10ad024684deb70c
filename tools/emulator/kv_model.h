/// Model of the platform's store: revisions, leases, conditions, history.
/// Pure; the time is passed in.
#pragma once

#include "tarragonbridge/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge::emulator {

struct kv_item {
  std::string Key;
  std::string Value;
  std::uint64_t Revision = 0;
  std::uint64_t Created = 0;
  std::uint64_t Lease = 0;
  bool IsRemoved = false;
};

struct kv_write {
  std::string Key;
  std::string Value;
  std::uint64_t Lease = 0;
};
struct kv_condition {
  std::string Key;
  std::uint64_t Revision = 0; ///< 0: the key doesn't exist
};

enum class kv_outcome : std::uint8_t { Done, ConditionFailed, NoSuchLease };

class kv_model {
public:
  std::optional<kv_item> find(const std::string &Key) const;
  std::vector<kv_item> range(std::string_view Prefix,
                             std::string_view After) const;
  kv_outcome transact(const std::vector<kv_condition> &Conditions,
                      const std::vector<kv_write> &Writes,
                      const std::vector<std::string> &Removals);
  std::uint64_t grant(milliseconds TimeToLive, boot_time Now);
  bool renew(std::uint64_t Lease, boot_time Now);
  bool end(std::uint64_t Lease);
  /// Removes the keys of leases that are over.
  void expire(boot_time Now);
  /// Leases don't run out while the store stands still.
  void prolongAll(microseconds Time);
  /// Removes keys with a prefix, whatever their leases say.
  void removePrefix(std::string_view Prefix);

  /// @returns changes past a revision, nothing when that history is gone
  std::optional<std::vector<kv_item>> changesAfter(std::string_view Prefix,
                                                   std::uint64_t After) const;
  /// Forgets the history up to now.
  void compact();
  std::uint64_t revision() const { return Revision; }

private:
  struct lease_state {
    boot_time EndsAt;
    milliseconds TimeToLive{};
  };
  void put(const kv_write &Write);
  void remove(const std::string &Key);

  std::map<std::string, kv_item> Items;
  std::vector<kv_item> History;
  std::map<std::uint64_t, lease_state> Leases;
  std::uint64_t Revision = 1;
  std::uint64_t CompactedAt = 0;
  std::uint64_t LastLease = 1'000;
};

} // namespace tarragonbridge::emulator
