/// Failure domains that operators have evacuated. A change is known by the
/// store's revision at which it was made, whoever tells of it first: the store
/// or a peer.
#pragma once

#include "tarragonbridge/pool/types.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge::pool {

/// The latest known request for each failure domain.
class evacuation_list {
public:
  /// Applies a record, unless a later one is known.
  ///
  /// @returns whether the failure domain is evacuated now and wasn't before, or
  /// the reverse
  bool apply(const evacuation_record &Record);
  /// Ends the evacuations that aren't in a snapshot of the store.
  ///
  /// @returns the failure domains that this takes back
  std::vector<evacuation_record>
  endMissing(const std::vector<evacuation_record> &Snapshot,
             std::uint64_t Revision);

  bool isEvacuated(std::string_view FailureDomain) const;
  /// @returns whether any failure domain is evacuated
  bool isAny() const { return EvacuatedCount > 0; }
  /// @returns all records, also of evacuations that have ended
  std::vector<evacuation_record> records() const;

private:
  /// Makes room for one more record: the earliest ended one goes.
  void evictEnded();

  std::map<std::string, evacuation_record, std::less<>> Records; ///< by domain
  std::size_t EvacuatedCount = 0;
};

/// What a host knows of evacuations. Module evacuations.
struct evacuation_state {
  evacuation_list List;
  bool HasSnapshot = false; ///< the store's list was read
  boot_time ReadAt;         ///< when the store last told of it
  /// Until the store's list is read or this time, attempts aren't started.
  boot_time RecheckUntil;
};

} // namespace tarragonbridge::pool
