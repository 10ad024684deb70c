/// Reliable messages over datagrams between two hosts.
#pragma once

#include "tarragonbridge/pool/peer_messages.h"

#include <map>
#include <set>

namespace tarragonbridge::pool {

/// One side of a reliable link to a peer: sends, retransmits and acknowledges
/// messages in both directions.
///
/// @remarks A side that has evicted the other from its peers returns with a new
/// link, whose epoch is higher, and has forgotten which messages it received.
/// The epochs of both sides name a session. Messages and acknowledgements count
/// only within one; when it ends, its unacknowledged messages are dropped, as
/// they may have been delivered. So a message is delivered once, or at most
/// once if the session ends. Messages may arrive in any order.
class peer_link {
public:
  peer_link() = default;
  /// @param[in] Epoch higher than that of any earlier link to the peer
  explicit peer_link(std::uint64_t Epoch) : Epoch(Epoch) {}

  /// Queues a message and keeps it until the peer has acknowledged it. An offer
  /// that is too large for a datagram is queued in parts. A message that
  /// cancels tasks also removes them from unacknowledged offers: when
  /// retransmitted, these would be started though nobody waits for them.
  /// @returns false if too many are unacknowledged: the peer receives nothing.
  /// A cancellation is queued all the same.
  bool push(peer_message Message, boot_time Now);

  /// Adds all acknowledgements and the messages that are due: new ones and
  /// retransmissions. Unacknowledged reassignments are repeated before they are
  /// due, as far as they have room: a peer that confirms a state of this host
  /// has to know what this host owns.
  ///
  /// @param[in] RepeatsCancellations whether cancellations are repeated, too,
  /// so that whoever receives the datagram has them
  /// @returns number of retransmitted messages
  /// @remarks No message is due before the peer's epoch is known.
  std::size_t fill(datagram &Datagram, boot_time Now,
                   bool RepeatsCancellations = false);

  /// Begins a new session if a datagram shows a later epoch of the peer.
  /// @returns whether it did
  bool beginSession(const datagram &Datagram);

  /// @returns whether the messages and acknowledgements of a datagram belong to
  /// the current session
  bool isInSession(const datagram &Datagram) const {
    return Datagram.Epoch == PeerEpoch && Datagram.AckedEpoch == Epoch;
  }

  /// Applies the acknowledgements of a datagram of this session.
  void acknowledge(const datagram &Datagram);

  /// Records a received message of this session.
  /// @returns whether it is new; a repeated one is only acknowledged
  bool accept(std::uint64_t Number);

  /// @returns whether a message or an acknowledgement has to be sent now
  bool isDue(boot_time Now) const;
  /// @returns when the next message is due, if any can be sent
  std::optional<boot_time> nextDueAt() const;
  std::size_t unackedCount() const { return Unacked.size(); }
  /// @returns when the oldest unacknowledged message was queued, if there is
  /// one
  std::optional<boot_time> oldestUnackedAt() const;

private:
  void queue(peer_message Message, boot_time Now);
  void removeFromUnackedOffers(const tasks_cancelled &Cancelled);

  struct unacked_message {
    peer_message Message;
    boot_time QueuedAt;
    boot_time DueAt;
    milliseconds RetransmitTimeout{};
    bool WasSent = false;

    /// Sets when it is due for retransmission.
    void markSent(boot_time Now);
  };
  std::uint64_t Epoch = 1;
  std::uint64_t PeerEpoch = 0; ///< 0: none received yet
  std::map<std::uint64_t, unacked_message> Unacked;
  std::uint64_t LastNumber = 0;
  std::uint64_t ReceivedUpTo = 0;
  std::set<std::uint64_t> ReceivedOutOfOrder;
  bool IsAckPending = false;
};

} // namespace tarragonbridge::pool
