/// Division of slots and limits between entry hosts.
///
/// Each host computes its share alone, from a member list and what members last
/// said of their demand. Hosts that compute from equal lists get shares that
/// sum up to the limit at most.
///
/// - The limit is divided in chunks that hold the largest single need.
/// - Every member first gets the same guaranteed part: half of an equal part,
///   and at least one chunk when there are enough.
/// - The rest goes to members in equal steps up to their demand; an unknown
///   demand has no end, so a host that hears nobody has an equal part.
/// - What nobody demands is spread evenly over all.
/// - Chunks that can't be spread evenly go by a hash of limit, host and turn;
///   where there are fewer chunks than members, turns change the holders.
///
/// The sum over hosts that compute from different lists is bounded by the
/// largest share of each, which is the limit less the guaranteed parts of the
/// others on its own list. For n hosts with equal members and different
/// demands that is n * (limit - (n - 1) * guaranteed part): about (n + 1) / 2
/// limits, until the demands are heard again or count as unknown; n limits
/// where there are fewer chunks than members. Use that
/// members report beyond their shares is left to them, so the use in all
/// exceeds the limit only as far as reports lag.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge {

/// What a member last said of one limit, in units of the limit.
struct share_demand {
  std::uint64_t Wanted = 0; ///< in use and queued
  std::uint64_t InUse = 0;
  std::uint64_t LargestNeed = 1; ///< of one task

  bool operator==(const share_demand &) const = default;
};

/// One host that takes part in a division.
struct share_member {
  std::string Host;
  std::optional<share_demand> Demand; ///< nothing: not heard lately
};

/// What is divided.
struct share_limit {
  std::string_view Name; ///< the same at all hosts, different for each limit
  std::uint64_t Units = 0;
  std::uint64_t Turn = 0; ///< number of the present period of time
};

/// Divides a limit between members.
///
/// @param[in] Members in any order; names differ
/// @returns the share of each member, in the order of the list
std::vector<std::uint64_t>
divideLimit(const share_limit &Limit, const std::vector<share_member> &Members);

/// @returns the part that every member has whatever the demands are
std::uint64_t guaranteedPart(const share_limit &Limit,
                             const std::vector<share_member> &Members);

/// @returns what one member may use now: its share less what others report
/// beyond theirs, but no less than the guaranteed part; zero for a host that is
/// not on the list
std::uint64_t usableShare(const share_limit &Limit,
                          const std::vector<share_member> &Members,
                          std::string_view Host);

} // namespace tarragonbridge
