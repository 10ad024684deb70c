#include "emulator/kv_model.h"

#include <algorithm>

namespace tarragonbridge::emulator {

std::optional<kv_item> kv_model::find(const std::string &Key) const {
  const auto Found = Items.find(Key);
  return Found == Items.end() ? std::nullopt : std::optional(Found->second);
}

std::vector<kv_item> kv_model::range(std::string_view Prefix,
                                     std::string_view After) const {
  std::vector<kv_item> Found;
  for (const auto &[Key, Item] : Items) {
    if (Key.starts_with(Prefix) && Key > After) {
      Found.push_back(Item);
    }
  }
  return Found;
}

void kv_model::put(const kv_write &Write) {
  kv_item &Item = Items[Write.Key];
  Item.Created = Item.Created == 0 ? Revision : Item.Created;
  Item.Key = Write.Key;
  Item.Value = Write.Value;
  Item.Lease = Write.Lease;
  Item.Revision = Revision;
  History.push_back(Item);
}

void kv_model::remove(const std::string &Key) {
  if (Items.erase(Key) > 0) {
    kv_item Removed;
    Removed.Key = Key;
    Removed.Revision = Revision;
    Removed.IsRemoved = true;
    History.push_back(Removed);
  }
}

kv_outcome kv_model::transact(const std::vector<kv_condition> &Conditions,
                              const std::vector<kv_write> &Writes,
                              const std::vector<std::string> &Removals) {
  const bool Hold = std::all_of(
      Conditions.begin(), Conditions.end(), [&](const kv_condition &Condition) {
        const auto Item = find(Condition.Key);
        return (Item ? Item->Revision : 0) == Condition.Revision;
      });
  if (!Hold) {
    return kv_outcome::ConditionFailed;
  }
  for (const kv_write &Write : Writes) {
    if (Write.Lease != 0 && !Leases.contains(Write.Lease)) {
      return kv_outcome::NoSuchLease;
    }
  }
  ++Revision;
  for (const kv_write &Write : Writes) {
    put(Write);
  }
  for (const std::string &Key : Removals) {
    remove(Key);
  }
  return kv_outcome::Done;
}

std::uint64_t kv_model::grant(milliseconds TimeToLive, boot_time Now) {
  Leases[++LastLease] = {Now + TimeToLive, TimeToLive};
  return LastLease;
}

bool kv_model::renew(std::uint64_t Lease, boot_time Now) {
  const auto Found = Leases.find(Lease);
  if (Found == Leases.end()) {
    return false;
  }
  Found->second.EndsAt = Now + Found->second.TimeToLive;
  return true;
}

bool kv_model::end(std::uint64_t Lease) {
  if (Leases.erase(Lease) == 0) {
    return false;
  }
  std::vector<std::string> Keys;
  for (const auto &[Key, Item] : Items) {
    if (Item.Lease == Lease) {
      Keys.push_back(Key);
    }
  }
  ++Revision;
  for (const std::string &Key : Keys) {
    remove(Key);
  }
  return true;
}

void kv_model::expire(boot_time Now) {
  std::vector<std::uint64_t> Over;
  for (const auto &[Lease, State] : Leases) {
    if (State.EndsAt <= Now) {
      Over.push_back(Lease);
    }
  }
  for (const std::uint64_t Lease : Over) {
    end(Lease);
  }
}

void kv_model::prolongAll(microseconds Time) {
  for (auto &[Lease, State] : Leases) {
    State.EndsAt += Time;
  }
}

void kv_model::removePrefix(std::string_view Prefix) {
  ++Revision;
  for (const kv_item &Item : range(Prefix, "")) {
    remove(Item.Key);
  }
}

std::optional<std::vector<kv_item>>
kv_model::changesAfter(std::string_view Prefix, std::uint64_t After) const {
  if (After < CompactedAt) {
    return std::nullopt;
  }
  std::vector<kv_item> Changes;
  for (const kv_item &Change : History) {
    if (Change.Revision > After && Change.Key.starts_with(Prefix)) {
      Changes.push_back(Change);
    }
  }
  return Changes;
}

void kv_model::compact() {
  History.clear();
  CompactedAt = Revision;
}

} // namespace tarragonbridge::emulator
