/// Reliable messages over datagrams between two hosts.
#pragma once

#include "tarragonbridge/pool/peer_messages.h"

#include <map>
#include <set>

namespace tarragonbridge::pool {

/// One direction pair of messages with a peer.
///
/// @remarks A message arrives once or one side has forgotten the other;
/// messages may arrive in any order. Each side numbers its messages within an
/// epoch of its own, so that one that starts anew is not taken for the old one.
class peer_link {
public:
  peer_link() = default;
  /// @param[in] Epoch higher than those of all earlier links to the peer
  explicit peer_link(std::uint64_t Epoch) : Epoch(Epoch) {}

  /// Numbers a message and keeps it until the peer has acknowledged it. Offers
  /// that wait for their acknowledgement lose the tasks that are cancelled:
  /// sent again, they would be begun for nobody.
  /// @returns false when too many wait: the peer doesn't hear
  bool push(peer_message Message, boot_time Now);

  /// Fills a datagram with what is due: new messages, those to resend,
  /// acknowledgements.
  ///
  /// @returns messages that are sent again
  std::size_t fill(datagram &Datagram, boot_time Now);

  /// Takes the acknowledgements of a datagram.
  void acknowledge(const datagram &Datagram);

  /// Begins anew when the peer's side has. @returns whether the messages of a
  /// datagram are of the peer's present epoch
  bool synchronizeEpoch(const datagram &Datagram);

  /// @returns whether a message is new; a repeated one is only acknowledged
  bool accept(std::uint64_t Number);

  /// @returns whether anything is to be sent now
  bool isDue(boot_time Now) const;
  /// @returns when the next resend is due
  std::optional<boot_time> nextDue() const;
  std::size_t unacknowledged() const { return Unacked.size(); }

private:
  void withdraw(const tasks_cancelled &Cancelled);

  struct unacked_message {
    peer_message Message;
    boot_time DueAt;
    milliseconds ResendAfter{};
    bool WasSent = false;
  };
  std::uint64_t Epoch = 1;
  std::uint64_t PeerEpoch = 0; ///< 0: none heard yet
  std::map<std::uint64_t, unacked_message> Unacked;
  std::uint64_t LastNumber = 0;
  std::uint64_t ReceivedUpTo = 0;
  std::set<std::uint64_t> ReceivedOutOfOrder;
  bool IsAckPending = false;
};

} // namespace tarragonbridge::pool
