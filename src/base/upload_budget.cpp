#include "base/upload_budget.h"

#include <algorithm>
#include <tuple>

namespace tarragonbridge {

namespace {
/// Memory of a connection in the library and in the socket's receive buffer, of
/// which the kernel takes twice what is asked for.
constexpr std::size_t ConnectionBytes = 40U << 10U;
/// Part of a body, and of a job, that finds room on every connection.
constexpr std::size_t SmallBytes = 8U << 10U;
constexpr std::size_t ConnectionMemoryDivisor = 2; ///< of the memory
constexpr std::size_t BodyMemoryDivisor = 16;
constexpr std::size_t HeldMemoryDivisor = 8;
constexpr std::size_t FileDescriptors = 200; ///< aren't for sockets
constexpr std::size_t DescriptorDivisor = 2; ///< the rest is for other sockets
/// Part of the limits of callers that other listeners have beside them.
constexpr std::size_t InternalDivisor = 8;
constexpr std::size_t MinInternalConnections = 16;
constexpr std::size_t MinInternalBytes = 512U << 10U;

/// Without progress for this long, an unfinished request goes first.
constexpr milliseconds StallTime{1'000};
/// From the end of a request to the headers of the next one.
constexpr milliseconds MaxWaitingTime{65'000};
/// From the refusal of a body to the end of its connection.
constexpr milliseconds RefusalTime{2'000};
constexpr milliseconds OverdueScanInterval{500};
/// Room made at a time, as a part of a limit, so that scans are rare.
constexpr std::size_t RoomDivisor = 8;
constexpr std::size_t ConnectionRoomDivisor = 16;

// Those of the first rank go first.
constexpr int RankStalled = 0; ///< the longest without progress first
constexpr int RankIdle = 1;    ///< between requests, the longest first
constexpr int RankSlow = 2;    ///< began a while ago, the longest ago first
constexpr int RankNew = 3;     ///< no request yet, the longest ago first
constexpr int RankNewest = 4;  ///< those that came last first

std::size_t excess(std::size_t Bytes) {
  return Bytes > SmallBytes ? Bytes - SmallBytes : 0;
}

bool isStalled(boot_time ProgressAt, boot_time Now) {
  return Now - ProgressAt >= StallTime;
}

std::size_t afterMakingRoom(std::size_t Limit) {
  return Limit - Limit / RoomDivisor;
}
} // namespace

/// A connection that may go; those of lower ranks go first.
struct upload_budget::candidate {
  connections::iterator Where;
  int Rank = 0;
  boot_time::duration Order{}; ///< the least goes first within a rank

  bool operator<(const candidate &Other) const {
    return std::tie(Rank, Order) < std::tie(Other.Rank, Other.Order);
  }
};

process_upload_limits makeUploadLimits(std::size_t MemoryBytes,
                                       std::size_t Descriptors) {
  const std::size_t Sockets =
      Descriptors > FileDescriptors ? Descriptors - FileDescriptors : 0;
  process_upload_limits Limits;
  upload_limits &Callers = Limits.Callers;
  Callers.MaxConnections = std::min(Sockets / DescriptorDivisor,
                                    MemoryBytes / ConnectionMemoryDivisor /
                                        (ConnectionBytes + SmallBytes));
  Callers.MaxUnfinishedBytes = MemoryBytes / BodyMemoryDivisor;
  Callers.MaxHeldBytes = MemoryBytes / HeldMemoryDivisor;
  upload_limits &Internal = Limits.Internal;
  Internal.MaxConnections = std::max(Callers.MaxConnections / InternalDivisor,
                                     MinInternalConnections);
  Internal.MaxUnfinishedBytes =
      std::max(Callers.MaxUnfinishedBytes / InternalDivisor, MinInternalBytes);
  Internal.MaxHeldBytes =
      std::max(Callers.MaxHeldBytes / InternalDivisor, MinInternalBytes);
  return Limits;
}

std::string_view nameOf(eviction_reason Reason) {
  switch (Reason) {
  case eviction_reason::Stalled:
    return "stalled";
  case eviction_reason::Newest:
    return "newest";
  case eviction_reason::TooSlow:
    return "too_slow";
  case eviction_reason::Connections:
    return "connections";
  case eviction_reason::Unread:
    return "unread";
  case eviction_reason::TooLarge:
    return "too_large";
  case eviction_reason::Count:
    break;
  }
  return "";
}

connection_handle upload_budget::open(boot_time Now) {
  const std::uint64_t Handle = ++LastHandle;
  enter(Connections[Handle], phase::Waiting, Now);
  return connection_handle{Handle};
}

void upload_budget::close(connection_handle Connection) {
  const auto Found = Connections.find(static_cast<std::uint64_t>(Connection));
  if (Found == Connections.end()) {
    return;
  }
  Leaving -= Found->second.Phase == phase::Leaving ? 1 : 0;
  setBytes(Found->second, 0, 0);
  Connections.erase(Found);
}

void upload_budget::beginRequest(connection_handle Connection, boot_time Now) {
  if (auto *Found = find(Connection)) {
    enter(*Found, phase::Uploading, Now);
  }
}

void upload_budget::setUnfinished(connection_handle Connection,
                                  std::size_t Bytes, boot_time Now) {
  if (auto *Found = find(Connection)) {
    setBytes(*Found, Bytes, Found->Held);
    Found->ProgressAt = Now;
  }
}

void upload_budget::refuse(connection_handle Connection, eviction_reason Reason,
                           boot_time Now) {
  if (auto *Found = find(Connection)) {
    setBytes(*Found, 0, 0);
    enter(*Found, phase::Refused, Now);
    ++Figures.Evictions.at(static_cast<std::size_t>(Reason));
  }
}

bool upload_budget::complete(connection_handle Connection) {
  auto *Found = find(Connection);
  if (Found == nullptr || Found->Phase != phase::Uploading) {
    return false;
  }
  setBytes(*Found, 0, 0);
  Found->Phase = phase::Complete;
  Found->HasServed = true;
  return true;
}

bool upload_budget::hold(connection_handle Connection, std::size_t Bytes) {
  auto *Found = find(Connection);
  if (Found == nullptr) {
    return false;
  }
  const bool HasRoom = excess(Bytes) == 0 || HeldExcess == 0 ||
                       HeldExcess + excess(Bytes) <= Limits.MaxHeldBytes;
  if (!HasRoom) {
    ++Figures.HoldsRefused;
    return false;
  }
  setBytes(*Found, Found->Unfinished, Bytes);
  return true;
}

void upload_budget::answer(connection_handle Connection, std::size_t Bytes,
                           boot_time Now) {
  if (auto *Found = find(Connection)) {
    setBytes(*Found, 0, Bytes);
    enter(*Found, phase::Answering, Now);
  }
}

void upload_budget::finish(connection_handle Connection, boot_time Now) {
  if (auto *Found = find(Connection)) {
    setBytes(*Found, 0, 0);
    enter(*Found, phase::Waiting, Now);
  }
}

std::vector<eviction> upload_budget::evict(boot_time Now) {
  std::vector<eviction> Evictions;
  if (Now >= NextOverdueScanAt) {
    NextOverdueScanAt = Now + OverdueScanInterval;
    evictOverdue(Now, Evictions);
  }
  if (UnfinishedExcess > Limits.MaxUnfinishedBytes) {
    evictUnfinished(Now, Evictions);
  }
  if (HeldExcess > Limits.MaxHeldBytes) {
    evictUnread(Now, Evictions);
  }
  if (Connections.size() - Leaving > Limits.MaxConnections) {
    evictConnections(Now, Evictions);
  }
  return Evictions;
}

upload_figures upload_budget::figures() const {
  upload_figures Current = Figures;
  Current.Connections = Connections.size();
  return Current;
}

upload_budget::connection *upload_budget::find(connection_handle Connection) {
  const auto Found = Connections.find(static_cast<std::uint64_t>(Connection));
  const bool IsThere =
      Found != Connections.end() && Found->second.Phase != phase::Leaving;
  return IsThere ? &Found->second : nullptr;
}

void upload_budget::setBytes(connection &Connection, std::size_t Unfinished,
                             std::size_t Held) {
  Figures.UnfinishedBytes += Unfinished - Connection.Unfinished;
  UnfinishedExcess += excess(Unfinished) - excess(Connection.Unfinished);
  Figures.HeldBytes += Held - Connection.Held;
  HeldExcess += excess(Held) - excess(Connection.Held);
  Connection.Unfinished = Unfinished;
  Connection.Held = Held;
}

void upload_budget::enter(connection &Connection, phase Phase, boot_time Now) {
  Connection.Phase = Phase;
  Connection.StartedAt = Now;
  Connection.ProgressAt = Now;
}

void upload_budget::evictOverdue(boot_time Now,
                                 std::vector<eviction> &Evictions) {
  const auto MaxTime = [&](phase Phase) {
    switch (Phase) {
    case phase::Waiting:
      return boot_time::duration(MaxWaitingTime);
    case phase::Uploading:
      return boot_time::duration(Limits.MaxUploadTime);
    case phase::Refused:
      return boot_time::duration(RefusalTime);
    case phase::Complete:
    case phase::Answering:
    case phase::Leaving:
      break;
    }
    return boot_time::duration::max();
  };
  for (auto Each = Connections.begin(); Each != Connections.end(); ++Each) {
    if (Now - Each->second.StartedAt > MaxTime(Each->second.Phase)) {
      leave({Each}, eviction_reason::TooSlow, Evictions);
    }
  }
}

upload_budget::candidate
upload_budget::rankByProgress(connections::iterator Where, boot_time Now) {
  const connection &Connection = Where->second;
  if (isStalled(Connection.ProgressAt, Now)) {
    return {Where, RankStalled, Connection.ProgressAt.time_since_epoch()};
  }
  return {Where, RankNewest, -Connection.StartedAt.time_since_epoch()};
}

upload_budget::candidate upload_budget::rankByAge(connections::iterator Where,
                                                  boot_time Now) {
  const connection &Connection = Where->second;
  candidate Candidate = rankByProgress(Where, Now);
  if (Candidate.Rank == RankStalled && Connection.Phase == phase::Waiting &&
      Connection.HasServed) {
    Candidate.Rank = RankIdle;
    return Candidate;
  }
  if (Candidate.Rank != RankNewest) {
    return Candidate;
  }
  if (Connection.Phase == phase::Waiting) {
    // An ordinary client sends its request at once, so those that came before
    // it have had their time.
    Candidate = {Where, RankNew, Connection.StartedAt.time_since_epoch()};
  } else if (isStalled(Connection.StartedAt, Now)) {
    Candidate = {Where, RankSlow, Connection.StartedAt.time_since_epoch()};
  }
  return Candidate;
}

void upload_budget::evictUnfinished(boot_time Now,
                                    std::vector<eviction> &Evictions) {
  std::vector<candidate> Candidates;
  for (auto Each = Connections.begin(); Each != Connections.end(); ++Each) {
    if (excess(Each->second.Unfinished) != 0) {
      Candidates.push_back(rankByProgress(Each, Now));
    }
  }
  std::sort(Candidates.begin(), Candidates.end());
  if (!Candidates.empty()) {
    Candidates.pop_back(); // a single body is served whatever the limit
  }
  for (const candidate &Candidate : Candidates) {
    if (UnfinishedExcess <= afterMakingRoom(Limits.MaxUnfinishedBytes)) {
      return;
    }
    leave(Candidate,
          Candidate.Rank == RankStalled ? eviction_reason::Stalled
                                        : eviction_reason::Newest,
          Evictions);
  }
}

void upload_budget::evictUnread(boot_time Now,
                                std::vector<eviction> &Evictions) {
  std::vector<candidate> Candidates;
  for (auto Each = Connections.begin(); Each != Connections.end(); ++Each) {
    const connection &Connection = Each->second;
    if (Connection.Phase == phase::Answering && excess(Connection.Held) != 0 &&
        isStalled(Connection.ProgressAt, Now)) {
      Candidates.push_back(rankByProgress(Each, Now));
    }
  }
  std::sort(Candidates.begin(), Candidates.end());
  for (const candidate &Candidate : Candidates) {
    if (HeldExcess <= afterMakingRoom(Limits.MaxHeldBytes)) {
      return;
    }
    leave(Candidate, eviction_reason::Unread, Evictions);
  }
}

void upload_budget::evictConnections(boot_time Now,
                                     std::vector<eviction> &Evictions) {
  std::vector<candidate> Candidates;
  for (auto Each = Connections.begin(); Each != Connections.end(); ++Each) {
    const connection &Connection = Each->second;
    if (Connection.Phase == phase::Complete ||
        Connection.Phase == phase::Leaving) {
      continue;
    }
    Candidates.push_back(rankByAge(Each, Now));
  }
  std::sort(Candidates.begin(), Candidates.end());
  const std::size_t Room = Limits.MaxConnections / ConnectionRoomDivisor;
  for (const candidate &Candidate : Candidates) {
    const std::size_t Most =
        Limits.MaxConnections - (Candidate.Rank <= RankIdle ? Room : 0);
    if (Connections.size() - Leaving <= Most) {
      return;
    }
    leave(Candidate, eviction_reason::Connections, Evictions);
  }
}

void upload_budget::leave(const candidate &Candidate, eviction_reason Reason,
                          std::vector<eviction> &Evictions) {
  connection &Connection = Candidate.Where->second;
  Evictions.push_back({connection_handle{Candidate.Where->first}, Reason,
                       Connection.Phase == phase::Uploading});
  ++Figures.Evictions.at(static_cast<std::size_t>(Reason));
  setBytes(Connection, 0, 0);
  Connection.Phase = phase::Leaving;
  ++Leaving;
}

} // namespace tarragonbridge
