// Polling of the configuration beside its watch, which may miss a change
// without an error when the store compacts its history.
#include "core/pool/state_p.h"
#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::pool {

namespace {
/// Hosts per failure domain that poll at the short interval. The others
/// receive the number of a newer version in the state that these advertise.
constexpr std::size_t PollersPerDomain = 2;

/// @returns whether this host polls at the short interval: it is among the
/// first live hosts of its failure domain by name
bool isFrequentPoller(const pool_state &State, boot_time Now) {
  const auto PrecedingHosts = std::count_if(
      State.Peers.begin(), State.Peers.end(), [&](const auto &Entry) {
        const peer_host &Peer = Entry.second;
        return Entry.first < State.Init.Name && !Peer.State.IsShuttingDown &&
               Peer.Member.FailureDomain == State.Init.FailureDomain &&
               peerReceivedWithin(Peer, Now, config::HandoverPeerTimeout);
      });
  return static_cast<std::size_t>(PrecedingHosts) < PollersPerDomain;
}

bool hasPeerNewerVersion(const pool_state &State, boot_time Now) {
  return std::any_of(State.Peers.begin(), State.Peers.end(),
                     [&](const auto &Entry) {
                       return peerReceivedWithin(Entry.second, Now,
                                                 config::HandoverPeerTimeout) &&
                              Entry.second.State.ConfigurationVersion >
                                  State.Configuration.Version;
                     });
}
} // namespace

void pollConfiguration(reducer_context &Ctx) {
  pool_state &State = Ctx.State;
  const milliseconds Interval = isFrequentPoller(State, Ctx.Now)
                                    ? config::ConfigurationPollInterval
                                    : config::ConfigurationSlowPollInterval;
  const bool IsDue = State.ConfigurationPolledAt + Interval <= Ctx.Now;
  if (IsDue || hasPeerNewerVersion(State, Ctx.Now)) {
    State.ConfigurationPolledAt = Ctx.Now;
    Ctx.Effects.emplace_back(reread_configuration{});
  }
}

} // namespace tarragonbridge::pool
