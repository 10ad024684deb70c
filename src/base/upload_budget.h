/// Decides which connections of a process have to go when their requests and
/// responses hold too much memory, or when there are too many of them.
///
/// The listeners for callers share one budget, the other listeners another. It
/// opens no sockets and reads no clock; see docs/design/crowds.md.
#pragma once

#include "tarragonbridge/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tarragonbridge {

enum class connection_handle : std::uint64_t {};

/// What a process may hold for its connections.
struct upload_limits {
  std::size_t MaxConnections = 0;
  /// Unfinished bodies, without the small part of each.
  std::size_t MaxUnfinishedBytes = 0;
  /// Jobs and responses, without the small part of each.
  std::size_t MaxHeldBytes = 0;
  /// From a request's headers to its end.
  milliseconds MaxUploadTime{30'000};
};

/// What the listeners of a process may hold.
struct process_upload_limits {
  upload_limits Callers;
  /// Of the listeners for readiness, control and peers: a crowd of callers
  /// takes none of it.
  upload_limits Internal;
};

/// Derives the limits of a process from those of its host.
///
/// @param[in] MemoryBytes that the process may use
/// @param[in] Descriptors that the process may open
process_upload_limits makeUploadLimits(std::size_t MemoryBytes,
                                       std::size_t Descriptors);

/// Why a connection was closed or a request refused.
enum class eviction_reason : std::uint8_t {
  Stalled,     ///< its unfinished body made no progress, others needed room
  Newest,      ///< the same; others came before it
  TooSlow,     ///< its request took too long to arrive
  Connections, ///< too many connections were open
  Unread,      ///< its response wasn't read, others needed room
  TooLarge,    ///< its body is larger than allowed
  Count
};
std::string_view nameOf(eviction_reason Reason);

struct eviction {
  connection_handle Connection{};
  eviction_reason Reason{};
  bool HasRequest = false; ///< its client waits for a response
};

struct upload_figures {
  std::size_t Connections = 0;
  std::size_t UnfinishedBytes = 0; ///< of all unfinished bodies
  std::size_t HeldBytes = 0;       ///< of jobs and responses
  std::uint64_t HoldsRefused = 0;  ///< jobs for which there was no room
  std::array<std::uint64_t, static_cast<std::size_t>(eviction_reason::Count)>
      Evictions{};
};

class upload_budget {
public:
  explicit upload_budget(const upload_limits &Limits) : Limits(Limits) {}

  connection_handle open(boot_time Now);
  void close(connection_handle Connection);

  /// The headers of a request were read.
  void beginRequest(connection_handle Connection, boot_time Now);
  /// Part of a body was read.
  ///
  /// @param[in] Bytes that are allocated for the body now
  void setUnfinished(connection_handle Connection, std::size_t Bytes,
                     boot_time Now);
  /// The rest of the request is read and dropped, as it was refused.
  void refuse(connection_handle Connection, eviction_reason Reason,
              boot_time Now);
  /// A request was read whole.
  ///
  /// @returns false if it came too late: its connection is being closed
  bool complete(connection_handle Connection);
  /// Holds bytes of a job until its response. One job alone finds room always.
  ///
  /// @returns false if there is no room, as other jobs are held; nothing is
  /// held then
  bool hold(connection_handle Connection, std::size_t Bytes);
  /// A response of some bytes is being sent; the job is held no longer.
  void answer(connection_handle Connection, std::size_t Bytes, boot_time Now);
  /// The response was sent, the next request may come.
  void finish(connection_handle Connection, boot_time Now);

  /// @returns the connections that have to be closed, each of them once
  std::vector<eviction> evict(boot_time Now);
  upload_figures figures() const;

private:
  enum class phase : std::uint8_t {
    Waiting,   ///< for the headers of a request
    Uploading, ///< its body isn't whole
    Refused,   ///< the same, but the body is dropped
    Complete,  ///< there is no response yet
    Answering, ///< the response is being sent
    Leaving,   ///< being closed
  };
  struct connection {
    phase Phase = phase::Waiting;
    bool HasServed = false; ///< a request was read whole
    boot_time StartedAt;    ///< the phase
    boot_time ProgressAt;
    std::size_t Unfinished = 0;
    std::size_t Held = 0;
  };
  struct candidate;
  using connections = std::unordered_map<std::uint64_t, connection>;

  static candidate rankByProgress(connections::iterator Where, boot_time Now);
  static candidate rankByAge(connections::iterator Where, boot_time Now);
  connection *find(connection_handle Connection);
  void setBytes(connection &Connection, std::size_t Unfinished,
                std::size_t Held);
  static void enter(connection &Connection, phase Phase, boot_time Now);
  void evictOverdue(boot_time Now, std::vector<eviction> &Evictions);
  void evictUnfinished(boot_time Now, std::vector<eviction> &Evictions);
  void evictUnread(boot_time Now, std::vector<eviction> &Evictions);
  void evictConnections(boot_time Now, std::vector<eviction> &Evictions);
  void leave(const candidate &Candidate, eviction_reason Reason,
             std::vector<eviction> &Evictions);

  upload_limits Limits;
  connections Connections;
  std::uint64_t LastHandle = 0;
  std::size_t Leaving = 0;
  std::size_t UnfinishedExcess = 0; ///< over the small part of each
  std::size_t HeldExcess = 0;
  upload_figures Figures;
  boot_time NextOverdueScanAt;
};

} // namespace tarragonbridge
