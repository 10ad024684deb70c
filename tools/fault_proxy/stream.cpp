#include "fault_proxy/stream.h"

#include "base/clock.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>

namespace tarragonbridge {

namespace {
constexpr std::size_t ReadBytes = 16U << 10U;
constexpr std::size_t MaxQueuedBytes = 16U << 20U;
constexpr double MicrosecondsPerSecond = 1e6;

microseconds drawDelay(const direction_faults &Faults,
                       std::mt19937_64 &Random) {
  const microseconds Jitter = Faults.Jitter;
  std::uniform_int_distribution<std::int64_t> Extra(0, Jitter.count());
  return Faults.Delay + microseconds(Extra(Random));
}

microseconds transmitTime(std::size_t Bytes, const direction_faults &Faults) {
  if (Faults.BytesPerSecond == 0) {
    return {};
  }
  return microseconds(static_cast<std::int64_t>(
      static_cast<double>(Bytes) * MicrosecondsPerSecond /
      static_cast<double>(Faults.BytesPerSecond)));
}
} // namespace

void relay_stream::receive(const direction_faults &Faults,
                           std::mt19937_64 &Random) {
  std::array<char, ReadBytes> Buffer{};
  while (wantsInput()) {
    const ssize_t Count = recv(From, Buffer.data(), Buffer.size(), 0);
    if (Count < 0 && (errno == EAGAIN || errno == EINTR)) {
      return;
    }
    InputEnded = Count <= 0;
    if (InputEnded) {
      enqueue("", Count == 0 ? ending::Closed : ending::Reset, Faults, Random);
    } else {
      enqueue({Buffer.data(), static_cast<std::size_t>(Count)}, ending::None,
              Faults, Random);
    }
  }
}

void relay_stream::enqueue(std::string Bytes, ending Ending,
                           const direction_faults &Faults,
                           std::mt19937_64 &Random) {
  const std::uint64_t Left =
      Faults.DropAfterBytes
          ? *Faults.DropAfterBytes -
                std::min(*Faults.DropAfterBytes, ReceivedBytes)
          : Bytes.size();
  ReceivedBytes += Bytes.size();
  Bytes.resize(std::min<std::size_t>(Bytes.size(), Left));
  if (Bytes.empty() && Ending == ending::None) {
    return;
  }
  const boot_time Due =
      std::max(LastDue, bootNow() + drawDelay(Faults, Random)) +
      transmitTime(Bytes.size(), Faults);
  LastDue = Due;
  QueuedBytes += Bytes.size();
  Chunks.push_back({Due, std::move(Bytes), Ending});
}

bool relay_stream::wantsInput() const {
  return !InputEnded && QueuedBytes < MaxQueuedBytes;
}

std::optional<boot_time>
relay_stream::nextDue(const direction_faults &Faults) const {
  if (Faults.Held || IsBlocked || Chunks.empty()) {
    return std::nullopt;
  }
  return Chunks.front().Due;
}

/// @returns whether the first chunk was written whole
bool relay_stream::writeFront() {
  std::string &Bytes = Chunks.front().Bytes;
  while (!Bytes.empty()) {
    const ssize_t Count = send(To, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count < 0 && errno == EINTR) {
      continue;
    }
    if (Count < 0) {
      IsBlocked = errno == EAGAIN || errno == ENOTCONN;
      HasBroken = !IsBlocked;
      return false;
    }
    QueuedBytes -= static_cast<std::size_t>(Count);
    Bytes.erase(0, static_cast<std::size_t>(Count));
  }
  return true;
}

void relay_stream::deliver(const direction_faults &Faults) {
  IsBlocked = false;
  while (!Faults.Held && !Chunks.empty() && Chunks.front().Due <= bootNow()) {
    if (!writeFront()) {
      return;
    }
    const ending Ending = Chunks.front().Ending;
    Chunks.pop_front();
    if (Ending == ending::Closed) {
      shutdown(To, SHUT_WR);
      IsFinished = true;
    }
    HasBroken = HasBroken || Ending == ending::Reset;
  }
}

} // namespace tarragonbridge
