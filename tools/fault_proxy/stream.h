/// One direction of a relayed connection.
#pragma once

#include "fault_proxy/faults.h"

#include <deque>
#include <optional>
#include <random>
#include <string>

namespace tarragonbridge {

/// Bytes on their way from one socket to another.
class relay_stream {
public:
  relay_stream(int From, int To) : From(From), To(To) {}

  /// Reads what has arrived and decides when it is due.
  void receive(const direction_faults &Faults, std::mt19937_64 &Random);

  /// Writes what is due.
  void deliver(const direction_faults &Faults);

  /// @returns whether more may be read
  bool wantsInput() const;
  /// @returns whether bytes that are due wait for the socket
  bool wantsOutput() const { return IsBlocked; }
  /// @returns when the next bytes are due, nothing when none are or all wait
  std::optional<boot_time> nextDue(const direction_faults &Faults) const;
  /// @returns whether the end of the stream was delivered
  bool isFinished() const { return IsFinished; }
  /// @returns whether the other side is to be reset
  bool hasBroken() const { return HasBroken; }

  int from() const { return From; }
  int to() const { return To; }

private:
  enum class ending : std::uint8_t { None, Closed, Reset };

  struct chunk {
    boot_time Due;
    std::string Bytes;
    ending Ending = ending::None;
  };

  void enqueue(std::string Bytes, ending Ending, const direction_faults &Faults,
               std::mt19937_64 &Random);
  bool writeFront();

  int From;
  int To;
  std::deque<chunk> Chunks;
  std::size_t QueuedBytes = 0;
  std::uint64_t ReceivedBytes = 0;
  boot_time LastDue;
  bool InputEnded = false;
  bool IsBlocked = false;
  bool IsFinished = false;
  bool HasBroken = false;
};

} // namespace tarragonbridge
