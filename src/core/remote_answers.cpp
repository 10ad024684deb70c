#include "core/remote_answers_p.h"

#include "core/answers_p.h"
#include "core/ended_jobs_p.h"
#include "core/home_questions_p.h"
#include "core/jobs_p.h"
#include "core/membership_p.h"
#include "tarragonbridge/config.h"

#include <algorithm>

namespace tarragonbridge {

namespace {
constexpr int StatusAccepted = 202;

/// @returns how long the holder may wait for the end of the job
milliseconds waitOf(const remote_caller &Caller, instant Now) {
  switch (Caller.Wish) {
  case remote_wish::Submit:
    return config::FetchWait;
  case remote_wish::Query:
    return std::clamp(std::chrono::ceil<milliseconds>(Caller.Until - Now.Boot),
                      milliseconds::zero(), config::FetchWait);
  case remote_wish::SubmitAsync:
  case remote_wish::Cancel:
    break;
  }
  return milliseconds::zero();
}

void refuseCaller(dispatcher_state &State, const remote_caller &Caller,
                  const std::string &Key, reason Reason,
                  const std::string &Peer, effects &Effects) {
  Effects.emplace_back(answerRefusal(
      State, Caller.Request, {Key, Reason, false, "fetch answer", Peer, ""}));
}

void sendFetch(dispatcher_state &State, const member &Member, fetch_call Call,
               effects &Effects) {
  const std::uint64_t Number = State.Peers.NextCall++;
  Effects.emplace_back(
      send_fetch{Member.Host.PeerAddress, Number, Call.Holder, Call.Ask});
  State.Peers.Fetches.emplace(Number, std::move(Call));
}

void passOn(const fetch_call &Call, const fetch_reply &Reply,
            effects &Effects) {
  const bool IsRunning = Reply.State == fetch_state::Running;
  const bool IsAccepted =
      IsRunning && Call.Caller.Wish == remote_wish::SubmitAsync;
  answer_request Answer{Call.Caller.Request, Reply.Status, Reply.Body, {}};
  Answer.Final = !IsRunning;
  if (IsAccepted) {
    Answer.Status = StatusAccepted;
  }
  Effects.emplace_back(std::move(Answer));
}

/// Uses an answer or report of the host that holds the job.
void onHolderReply(dispatcher_state &State, const fetch_call &Call,
                   const host_identity &From, const fetch_reply &Reply,
                   instant Now, effects &Effects) {
  const bool IsRunning = Reply.State == fetch_state::Running;
  if (IsRunning && waitOf(Call.Caller, Now) > milliseconds::zero()) {
    fetchAnswer(State, From, Call.Ask, Call.Caller, Now, Effects);
    return;
  }
  passOn(Call, Reply, Effects);
}

bool holdsJob(const fetch_reply &Reply) {
  return Reply.State == fetch_state::Ended ||
         Reply.State == fetch_state::Running;
}

void endSearch(dispatcher_state &State, const holder_search &Search,
               effects &Effects) {
  const std::string Peer = formatIdentity(Search.Home);
  if (Search.AnyUnheard) {
    refuseCaller(State, Search.Caller, Search.Key, reason::HolderUnreachable,
                 Peer, Effects);
    return;
  }
  Effects.emplace_back(answerLost(State, Search.Caller.Request, Search.Key,
                                  reason::HomeDied, Peer));
}

void onSearchReply(dispatcher_state &State, const fetch_call &Call,
                   const fetch_answered &Event, instant Now, effects &Effects) {
  const auto Found = State.Peers.Searches.find(Call.Search);
  if (Found == State.Peers.Searches.end()) {
    return; // another host has answered
  }
  holder_search &Search = Found->second;
  const bool IsHeard = Event.From && isSameHost(*Event.From, Call.Holder);
  if (IsHeard && holdsJob(Event.Reply)) {
    State.Peers.Searches.erase(Found);
    onHolderReply(State, Call, *Event.From, Event.Reply, Now, Effects);
    return;
  }
  const bool IsUnseen = IsHeard && Event.Reply.State == fetch_state::Unseen;
  Search.AnyUnheard = Search.AnyUnheard || !IsUnseen;
  --Search.Awaited;
  if (Search.Awaited == 0) {
    const holder_search Ended = std::move(Search);
    State.Peers.Searches.erase(Found);
    endSearch(State, Ended, Effects);
  }
}
} // namespace

bool isSameHost(const host_identity &Left, const host_identity &Right) {
  return Left.Host == Right.Host && Left.FailureDomain == Right.FailureDomain;
}

void fetchAnswer(dispatcher_state &State, const host_identity &Holder,
                 fetch_ask Ask, const remote_caller &Caller, instant Now,
                 effects &Effects) {
  if (isSameHost(Holder, State.Init.Self)) {
    // Only an earlier incarnation of this host can be named to it.
    Effects.emplace_back(answerLost(State, Caller.Request, Ask.Key,
                                    reason::HolderDied,
                                    formatIdentity(Holder)));
    return;
  }
  const member *Member = findMember(State, Holder);
  if (Member == nullptr) {
    refuseCaller(State, Caller, Ask.Key, reason::HolderUnreachable,
                 formatIdentity(Holder), Effects);
    return;
  }
  Ask.Wait = waitOf(Caller, Now);
  Ask.Cancel = Caller.Wish == remote_wish::Cancel;
  sendFetch(State, *Member, {Caller, Holder, std::move(Ask), 0}, Effects);
}

void searchHolder(dispatcher_state &State, const host_identity &Home,
                  fetch_ask Ask, const remote_caller &Caller,
                  effects &Effects) {
  holder_search Search{Caller, Home, Ask.Key};
  const std::uint64_t Number = State.Peers.NextCall++;
  Ask.Cancel = Caller.Wish == remote_wish::Cancel;
  for (const auto &[Name, Member] : State.Peers.Members) {
    const host_identity To{Member.Host.FailureDomain, Name, 0};
    if (isSameHost(To, Home)) {
      continue; // the process there started after the home had ended
    }
    ++Search.Awaited;
    sendFetch(State, Member, {Caller, To, Ask, Number}, Effects);
  }
  if (Search.Awaited == 0) {
    endSearch(State, Search, Effects);
    return;
  }
  State.Peers.Searches.emplace(Number, std::move(Search));
}

void onFetchAnswered(dispatcher_state &State, const fetch_answered &Event,
                     instant Now, effects &Effects) {
  const auto Found = State.Peers.Fetches.find(Event.Call);
  if (Found == State.Peers.Fetches.end()) {
    State.Figures.Reasons.add(reason::LateReply);
    return;
  }
  const fetch_call Call = std::move(Found->second);
  State.Peers.Fetches.erase(Found);
  if (Call.Search != 0) {
    onSearchReply(State, Call, Event, Now, Effects);
    return;
  }
  const std::string Peer = formatIdentity(Call.Holder);
  if (!Event.From || !isSameHost(*Event.From, Call.Holder)) {
    refuseCaller(State, Call.Caller, Call.Ask.Key, reason::HolderUnreachable,
                 Peer, Effects);
    return;
  }
  if (*Event.From != Call.Holder) {
    Effects.emplace_back(answerLost(State, Call.Caller.Request, Call.Ask.Key,
                                    reason::HolderDied, Peer));
    return;
  }
  if (holdsJob(Event.Reply)) {
    onHolderReply(State, Call, *Event.From, Event.Reply, Now, Effects);
    return;
  }
  refuseCaller(State, Call.Caller, Call.Ask.Key, reason::StartPending, Peer,
               Effects);
}

namespace {
/// Tells of a key that this host has no record of.
fetch_state answerUnseen(dispatcher_state &State, const fetch_ask &Ask,
                         instant Now, effects &Effects) {
  if (State.Peers.Asks.Pending.contains(Ask.Key)) {
    return fetch_state::Pending;
  }
  // Past the retention period a record may have been forgotten.
  const bool IsRecent = Ask.SubmittedAt != wall_time{} &&
                        !checkSubmissionTime(Ask.SubmittedAt, Now.Wall);
  if (IsRecent) {
    releaseKey(State, Ask.Key, Effects);
  }
  return fetch_state::Unseen;
}
} // namespace

void onFetchReceived(dispatcher_state &State, const fetch_received &Event,
                     instant Now, effects &Effects) {
  const host_identity &To = Event.Route.To;
  const host_identity &Self = State.Init.Self;
  const bool IsMeant =
      isSameHost(To, Self) && (To.Incarnation == 0 || To == Self);
  if (!IsMeant) {
    State.Figures.Reasons.add(reason::PeerMisdirected);
    Effects.emplace_back(
        answer_fetch{Event.Request, {fetch_state::Gone, 0, ""}});
    return;
  }
  const fetch_ask &Ask = Event.Ask;
  if (!findDigest(State, Ask.Key)) {
    const fetch_state Known = answerUnseen(State, Ask, Now, Effects);
    Effects.emplace_back(answer_fetch{Event.Request, {Known, 0, ""}});
    return;
  }
  if (Ask.Cancel) {
    onJobCancelled(State, {Event.Request, Ask.Key}, Now, Effects);
    return;
  }
  onJobQueried(State, {Event.Request, Ask.Key, Ask.Wait}, Now, Effects);
}

} // namespace tarragonbridge
