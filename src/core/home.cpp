#include "core/home_p.h"

#include "core/ended_jobs_p.h"

namespace tarragonbridge {

namespace {
claim_answer refuse(const claim_ask &Ask, reason Reason, bool NotRun) {
  return {Ask.Number, claim_outcome::Refused, {}, Reason, NotRun};
}

/// Answers for a key whose submission this host itself runs or has run.
claim_answer decideOwn(const dispatcher_state &State, std::uint64_t Digest,
                       const claim_ask &Ask) {
  if (Ask.Mode != claim_mode::Find && Ask.Digest != Digest) {
    return refuse(Ask, reason::KeyReused, false);
  }
  return {Ask.Number, claim_outcome::Held, State.Init.Self};
}

claim_answer answerAsk(dispatcher_state &State, const host_identity &From,
                       const claim_ask &Ask, instant Now) {
  if (homeOf(State, Ask.Key) != State.Init.Self &&
      State.Init.Rules.CheckHomeIncarnation) {
    State.Figures.Reasons.add(reason::PeerMisdirected);
    return refuse(Ask, reason::HomeUnreachable, false);
  }
  if (Ask.Mode == claim_mode::Release) {
    releaseClaim(State.Peers.Claims, From, Ask);
    return {Ask.Number, claim_outcome::Unclaimed, {}};
  }
  if (const auto Digest = findDigest(State, Ask.Key)) {
    return decideOwn(State, *Digest, Ask);
  }
  const bool IsNew = !State.Peers.Claims.Entries.contains(Ask.Key);
  if (State.ShuttingDown && IsNew && Ask.Mode == claim_mode::Grant) {
    return refuse(Ask, reason::ShuttingDown, true);
  }
  return decideClaim(State.Peers.Claims, From, Ask, Now);
}
} // namespace

std::optional<host_identity> homeOf(const dispatcher_state & /*State*/,
                                    std::string_view Key) {
  return parseSessionHome(Key);
}

void onClaimsReceived(dispatcher_state &State, const claims_received &Event,
                      instant Now, effects &Effects) {
  answer_claims Answer{Event.Request, {}};
  if (Event.Route.To != State.Init.Self &&
      State.Init.Rules.CheckHomeIncarnation) {
    // The sender learns from this host's identity that its addressee ended.
    State.Figures.Reasons.add(reason::PeerMisdirected);
    Effects.emplace_back(std::move(Answer));
    return;
  }
  for (const claim_ask &Ask : Event.Asks) {
    Answer.Answers.push_back(answerAsk(State, Event.Route.From, Ask, Now));
  }
  Effects.emplace_back(std::move(Answer));
}

const claim_entry *findClaim(const dispatcher_state &State,
                             const std::string &Key) {
  const auto Found = State.Peers.Claims.Entries.find(Key);
  return Found == State.Peers.Claims.Entries.end() ? nullptr : &Found->second;
}

} // namespace tarragonbridge
