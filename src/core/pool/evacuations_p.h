/// Failure domains that operators have evacuated. A change is known by the
/// store's revision at which it was made, whoever tells of it first: the store
/// or a peer.
#pragma once

#include "tarragonbridge/pool/events.h"

#include <map>
#include <set>
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
  bool contains(std::string_view FailureDomain) const {
    return Records.contains(FailureDomain);
  }
  /// @returns all records, also of evacuations that have ended
  std::vector<evacuation_record> records() const;

private:
  /// Makes room for one more record: the earliest ended one goes.
  ///
  /// @returns whether there is room
  bool makeRoom();

  std::map<std::string, evacuation_record, std::less<>> Records; ///< by domain
  std::size_t EvacuatedCount = 0;
};

/// What a host knows of evacuations. Module evacuations.
struct evacuation_state {
  evacuation_list List;
  /// Came from the store before hosts and targets were known.
  std::vector<evacuations_listed> Pending;
  bool HasSnapshot = false; ///< the store's list was read
  std::uint64_t SnapshotRevision = 0;
  boot_time ReadAt;    ///< when the store last told of it
  boot_time ResumedAt; ///< after the latest long pause
  /// Until the store's list is read or this time, attempts aren't started.
  boot_time RecheckUntil;
  /// Requests for unknown failure domains that were logged.
  std::set<std::pair<std::string, std::uint64_t>> Ignored;
};

} // namespace tarragonbridge::pool
