#include "core/pool/peer_link_p.h"

#include "core/pool/peer_message_size_p.h"
#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::pool {

namespace {
/// Messages that one datagram acknowledges selectively, at most.
constexpr std::size_t MaxSelectiveAcks = 200;

/// Estimated size of the messages that are repeated before they are due, at
/// most. They leave the room for those that are due as it is.
constexpr std::size_t MaxRepeatedBytes = 16U << 10U;

/// @returns whether a message has to be in each datagram, since contact without
/// it keeps leases that it ends
bool isUrgent(const peer_message &Message, bool RepeatsCancellations) {
  return std::holds_alternative<attempts_reassigned>(Message) ||
         (RepeatsCancellations &&
          std::holds_alternative<tasks_cancelled>(Message));
}

/// Removes cancelled tasks from an offer.
void removeCancelled(task_offer &Offer, const tasks_cancelled &Cancelled) {
  std::erase_if(Offer.Tasks, [&](const offered_task &Task) {
    const attempt_ref Offered{Offer.Job, Task.Step, Task.Task,
                              Task.AttemptNumber};
    return std::find(Cancelled.Attempts.begin(), Cancelled.Attempts.end(),
                     Offered) != Cancelled.Attempts.end();
  });
}
} // namespace

bool peer_link::push(peer_message Message, boot_time Now) {
  if (const auto *Cancelled = std::get_if<tasks_cancelled>(&Message)) {
    removeFromUnackedOffers(*Cancelled);
  } else if (Unacked.size() >= config::MaxUnackedMessages) {
    return false;
  }
  if (auto *Offer = std::get_if<task_offer>(&Message)) {
    for (task_offer &Part : splitOffer(std::move(*Offer))) {
      queue(std::move(Part), Now);
    }
    return true;
  }
  queue(std::move(Message), Now);
  return true;
}

void peer_link::queue(peer_message Message, boot_time Now) {
  Unacked.emplace(++LastNumber,
                  unacked_message{std::move(Message), Now, Now,
                                  config::MinRetransmitTimeout, false});
}

void peer_link::removeFromUnackedOffers(const tasks_cancelled &Cancelled) {
  for (auto &[Number, Pending] : Unacked) {
    if (auto *Offer = std::get_if<task_offer>(&Pending.Message)) {
      removeCancelled(*Offer, Cancelled);
    }
  }
}

std::size_t peer_link::fill(datagram &Datagram, boot_time Now,
                            bool RepeatsCancellations) {
  Datagram.Epoch = Epoch;
  Datagram.AckedEpoch = PeerEpoch;
  Datagram.AckedUpTo = ReceivedUpTo;
  for (const std::uint64_t Number : ReceivedOutOfOrder) {
    if (Datagram.SelectiveAcks.size() >= MaxSelectiveAcks) {
      break;
    }
    Datagram.SelectiveAcks.push_back(Number);
  }
  IsAckPending = false;
  if (PeerEpoch == 0) {
    return 0;
  }
  std::size_t Retransmitted = 0;
  const auto Add = [&](std::uint64_t Number, unacked_message &Pending) {
    Retransmitted += Pending.WasSent ? 1 : 0;
    Pending.markSent(Now);
    Datagram.Messages.push_back({Number, Pending.Message});
  };
  std::size_t RepeatedBytes = 0;
  for (auto &[Number, Pending] : Unacked) {
    if (Pending.DueAt <= Now ||
        !isUrgent(Pending.Message, RepeatsCancellations)) {
      continue;
    }
    RepeatedBytes += estimatedSize(Pending.Message);
    if (RepeatedBytes > MaxRepeatedBytes) {
      break;
    }
    Add(Number, Pending);
  }
  std::size_t Bytes = 0;
  for (const bool AddsUrgent : {true, false}) {
    for (auto &[Number, Pending] : Unacked) {
      if (Pending.DueAt > Now ||
          isUrgent(Pending.Message, RepeatsCancellations) != AddsUrgent) {
        continue;
      }
      const std::size_t Size = estimatedSize(Pending.Message);
      if (Bytes > 0 && Bytes + Size > config::MaxDatagramBytes) {
        return Retransmitted;
      }
      Bytes += Size;
      Add(Number, Pending);
    }
  }
  return Retransmitted;
}

void peer_link::unacked_message::markSent(boot_time Now) {
  WasSent = true;
  DueAt = Now + RetransmitTimeout;
  RetransmitTimeout = std::min<milliseconds>(2 * RetransmitTimeout,
                                             config::MaxRetransmitTimeout);
}

bool peer_link::beginSession(const datagram &Datagram) {
  if (Datagram.Epoch <= PeerEpoch) {
    return false;
  }
  const bool HadSession = PeerEpoch != 0;
  PeerEpoch = Datagram.Epoch;
  ReceivedUpTo = 0;
  ReceivedOutOfOrder.clear();
  if (HadSession) {
    Unacked.clear();
    LastNumber = 0;
  }
  return true;
}

void peer_link::acknowledge(const datagram &Datagram) {
  Unacked.erase(Unacked.begin(), Unacked.upper_bound(Datagram.AckedUpTo));
  for (const std::uint64_t Number : Datagram.SelectiveAcks) {
    Unacked.erase(Number);
  }
}

bool peer_link::accept(std::uint64_t Number) {
  IsAckPending = true;
  if (Number > ReceivedUpTo + config::ReceiveWindow) {
    return false; // sent again until those before it were received
  }
  if (Number <= ReceivedUpTo || !ReceivedOutOfOrder.insert(Number).second) {
    return false;
  }
  while (!ReceivedOutOfOrder.empty() &&
         *ReceivedOutOfOrder.begin() == ReceivedUpTo + 1) {
    ReceivedOutOfOrder.erase(ReceivedOutOfOrder.begin());
    ++ReceivedUpTo;
  }
  return true;
}

std::optional<boot_time> peer_link::oldestUnackedAt() const {
  return Unacked.empty() ? std::nullopt
                         : std::optional(Unacked.begin()->second.QueuedAt);
}

bool peer_link::isDue(boot_time Now) const {
  const std::optional<boot_time> Due = nextDueAt();
  return IsAckPending || (Due && *Due <= Now);
}

std::optional<boot_time> peer_link::nextDueAt() const {
  if (PeerEpoch == 0) {
    return std::nullopt;
  }
  std::optional<boot_time> Earliest;
  for (const auto &[Number, Pending] : Unacked) {
    if (!Earliest || Pending.DueAt < *Earliest) {
      Earliest = Pending.DueAt;
    }
  }
  return Earliest;
}

} // namespace tarragonbridge::pool
