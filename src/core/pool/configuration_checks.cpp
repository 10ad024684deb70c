// When a host reads the configuration again beside its watch, which may miss a
// change without an error when the store drops its history.
#include "core/pool/state_p.h"
#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::pool {

namespace {
/// Hosts of a failure domain that read often; the others hear of a newer
/// version from them.
constexpr std::size_t ReadersADomain = 2;

/// @returns whether this host is one of its failure domain's readers
bool isReader(const pool_state &State, boot_time Now) {
  const auto Before = std::count_if(
      State.Peers.begin(), State.Peers.end(), [&](const auto &Entry) {
        const peer_host &Peer = Entry.second;
        return Entry.first < State.Init.Name && !Peer.State.IsShuttingDown &&
               Peer.Member.FailureDomain == State.Init.FailureDomain &&
               peerReceivedWithin(Peer, Now, config::HandoverPeerTimeout);
      });
  return static_cast<std::size_t>(Before) < ReadersADomain;
}

bool hasNewer(const pool_state &State, boot_time Now) {
  return std::any_of(State.Peers.begin(), State.Peers.end(),
                     [&](const auto &Entry) {
                       return peerReceivedWithin(Entry.second, Now,
                                                 config::HandoverPeerTimeout) &&
                              Entry.second.State.ConfigurationVersion >
                                  State.Configuration.Version;
                     });
}
} // namespace

void checkConfiguration(reducer_context &Ctx) {
  pool_state &State = Ctx.State;
  const milliseconds Interval = isReader(State, Ctx.Now)
                                    ? config::ConfigurationPollInterval
                                    : config::ConfigurationSlowPollInterval;
  const bool IsDue = State.ConfigurationReadAt + Interval <= Ctx.Now;
  if (IsDue || hasNewer(State, Ctx.Now)) {
    State.ConfigurationReadAt = Ctx.Now;
    Ctx.Effects.emplace_back(reread_configuration{});
  }
}

} // namespace tarragonbridge::pool
