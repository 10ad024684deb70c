#include "tarragonbridge/shares.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <xxhash.h>

namespace tarragonbridge {

namespace {
/// Part of an equal share that is guaranteed: one over this.
constexpr std::uint64_t GuaranteeDivisor = 2;

/// A limit in chunks that can't be split.
struct chunk_count {
  std::uint64_t Size = 1;  ///< units in a chunk
  std::uint64_t Count = 0; ///< whole chunks
  std::uint64_t Rest = 0;  ///< units left over
};

chunk_count splitLimit(const share_limit &Limit,
                       const std::vector<share_member> &Members) {
  std::uint64_t Size = 1;
  for (const share_member &Member : Members) {
    Size = std::max(Size, Member.Demand ? Member.Demand->LargestNeed : 1);
  }
  Size = std::max<std::uint64_t>(1, std::min(Size, Limit.Units));
  return {Size, Limit.Units / Size, Limit.Units % Size};
}

std::uint64_t guaranteedChunks(std::uint64_t Chunks, std::uint64_t Members) {
  if (Members == 0 || Chunks < Members) {
    return 0;
  }
  return std::max<std::uint64_t>(1, Chunks / (GuaranteeDivisor * Members));
}

std::uint64_t wantedChunks(const share_member &Member,
                           const chunk_count &Chunks) {
  if (!Member.Demand) {
    return Chunks.Count;
  }
  const std::uint64_t Wanted = Member.Demand->Wanted;
  return std::min(Chunks.Count,
                  Wanted / Chunks.Size + (Wanted % Chunks.Size != 0 ? 1 : 0));
}

/// @returns indices of members in the order that goes first to odd chunks
std::vector<std::size_t>
orderMembers(const share_limit &Limit, std::uint64_t Turn,
             const std::vector<share_member> &Members) {
  const std::uint64_t Seed =
      XXH3_64bits_withSeed(Limit.Name.data(), Limit.Name.size(), Turn);
  std::vector<std::uint64_t> Ranks(Members.size());
  for (std::size_t Index = 0; Index < Members.size(); ++Index) {
    const std::string &Host = Members[Index].Host;
    Ranks[Index] = XXH3_64bits_withSeed(Host.data(), Host.size(), Seed);
  }
  std::vector<std::size_t> Order(Members.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::sort(Order.begin(), Order.end(), [&](std::size_t A, std::size_t B) {
    return std::tie(Ranks[A], Members[A].Host) <
           std::tie(Ranks[B], Members[B].Host);
  });
  return Order;
}

/// Raises shares in equal steps up to their bounds.
///
/// @param[in,out] Shares in chunks
/// @param[in] Order members that take part; the first get odd chunks
/// @param[in] Bounds upper bound of each share
/// @param[in] Left chunks to hand out
/// @returns chunks that are left when all are at their bounds
std::uint64_t fillEvenly(std::vector<std::uint64_t> &Shares,
                         std::vector<std::size_t> Order,
                         const std::vector<std::uint64_t> &Bounds,
                         std::uint64_t Left) {
  while (Left > 0) {
    std::erase_if(Order, [&](std::size_t Index) {
      return Shares[Index] >= Bounds[Index];
    });
    if (Order.empty()) {
      return Left;
    }
    const std::uint64_t Step = std::max<std::uint64_t>(1, Left / Order.size());
    for (const std::size_t Index : Order) {
      const std::uint64_t More =
          std::min({Step, Bounds[Index] - Shares[Index], Left});
      Shares[Index] += More;
      Left -= More;
    }
  }
  return 0;
}
} // namespace

std::uint64_t guaranteedPart(const share_limit &Limit,
                             const std::vector<share_member> &Members) {
  const chunk_count Chunks = splitLimit(Limit, Members);
  return guaranteedChunks(Chunks.Count, Members.size()) * Chunks.Size;
}

std::vector<std::uint64_t>
divideLimit(const share_limit &Limit,
            const std::vector<share_member> &Members) {
  if (Members.empty()) {
    return {};
  }
  const chunk_count Chunks = splitLimit(Limit, Members);
  const std::uint64_t Guaranteed =
      guaranteedChunks(Chunks.Count, Members.size());
  const std::uint64_t Turn = Guaranteed == 0 ? Limit.Turn : 0;
  const std::vector<std::size_t> Order = orderMembers(Limit, Turn, Members);

  std::vector<std::uint64_t> Shares(Members.size(), Guaranteed);
  std::vector<std::uint64_t> Wanted(Members.size());
  std::transform(
      Members.begin(), Members.end(), Wanted.begin(),
      [&](const share_member &Member) { return wantedChunks(Member, Chunks); });
  std::uint64_t Left = Chunks.Count - Guaranteed * Members.size();
  Left = fillEvenly(Shares, Order, Wanted, Left);
  const std::vector<std::uint64_t> NoBounds(Members.size(), Chunks.Count);
  fillEvenly(Shares, Order, NoBounds, Left);

  for (std::uint64_t &Share : Shares) {
    Share *= Chunks.Size;
  }
  Shares[Order.front()] += Chunks.Rest;
  return Shares;
}

std::uint64_t usableShare(const share_limit &Limit,
                          const std::vector<share_member> &Members,
                          std::string_view Host) {
  const std::vector<std::uint64_t> Shares = divideLimit(Limit, Members);
  std::uint64_t Own = 0;
  std::uint64_t Excess = 0;
  for (std::size_t Index = 0; Index < Members.size(); ++Index) {
    const share_member &Member = Members[Index];
    if (Member.Host == Host) {
      Own = Shares[Index];
    } else if (Member.Demand && Member.Demand->InUse > Shares[Index]) {
      Excess += Member.Demand->InUse - Shares[Index];
    }
  }
  const std::uint64_t Least = std::min(Own, guaranteedPart(Limit, Members));
  return std::max(Least, Own - std::min(Own, Excess));
}

} // namespace tarragonbridge
