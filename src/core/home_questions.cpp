#include "core/home_questions_p.h"

#include "core/admission_p.h"
#include "core/answers_p.h"
#include "core/dispatch_p.h"
#include "core/ended_jobs_p.h"
#include "core/home_p.h"
#include "core/jobs_p.h"
#include "core/membership_p.h"
#include "core/remote_answers_p.h"
#include "tarragonbridge/config.h"

#include <algorithm>

namespace tarragonbridge {

namespace {
void refuseCallers(dispatcher_state &State, const claim_question &Question,
                   const refusal &Refusal, effects &Effects) {
  for (const remote_caller &Caller : Question.Callers) {
    Effects.emplace_back(answerRefusal(State, Caller.Request, Refusal));
  }
}

void refuseUnreachable(dispatcher_state &State, const claim_question &Question,
                       effects &Effects) {
  refuseCallers(State, Question,
                {Question.Ask.Key, reason::HomeUnreachable, false, "claim",
                 formatIdentity(Question.Home), ""},
                Effects);
}

/// Ends a question to a home whose host answers as another incarnation.
void onHomeDead(dispatcher_state &State, const claim_question &Question,
                effects &Effects) {
  for (const remote_caller &Caller : Question.Callers) {
    searchHolder(State, Question.Home,
                 {Question.Ask.Key, Question.Ask.SubmittedAt}, Caller, Effects);
  }
}

/// Sends what waits for a home unless a batch is out.
void flushChannel(dispatcher_state &State, const host_identity &Home,
                  effects &Effects) {
  const auto Found = State.Peers.Channels.find(formatIdentity(Home));
  if (Found == State.Peers.Channels.end() || !Found->second.Sent.empty()) {
    return;
  }
  claim_channel &Channel = Found->second;
  const member *Member = findMember(State, Home);
  if (Channel.Waiting.empty() || Member == nullptr) {
    State.Peers.Channels.erase(Found);
    return;
  }
  const auto Count = static_cast<std::ptrdiff_t>(
      std::min(Channel.Waiting.size(), config::MaxClaimsPerCall));
  send_claims Effect{Member->Host.PeerAddress, Home, {}};
  Channel.Sent.assign(Channel.Waiting.begin(), Channel.Waiting.begin() + Count);
  Channel.Waiting.erase(Channel.Waiting.begin(),
                        Channel.Waiting.begin() + Count);
  for (const std::uint64_t Number : Channel.Sent) {
    Effect.Asks.push_back(State.Peers.Questions.at(Number).Ask);
  }
  Effects.emplace_back(std::move(Effect));
}

/// Puts a question to its home, or answers at once when that is no use.
void ask(dispatcher_state &State, claim_question Question, effects &Effects) {
  const host_identity Home = Question.Home;
  const bool IsOwnHost = Home.Host == State.Init.Self.Host &&
                         Home.FailureDomain == State.Init.Self.FailureDomain;
  if (IsOwnHost) {
    endClaim(State.Peers.Asks, Question.Ask.Key);
    onHomeDead(State, Question, Effects);
    return;
  }
  if (findMember(State, Home) == nullptr) {
    endClaim(State.Peers.Asks, Question.Ask.Key);
    refuseUnreachable(State, Question, Effects);
    return;
  }
  const std::uint64_t Number = Question.Ask.Number;
  State.Peers.Questions.emplace(Number, std::move(Question));
  State.Peers.Channels[formatIdentity(Home)].Waiting.push_back(Number);
  flushChannel(State, Home, Effects);
}

/// Joins a caller to the question that is out for its key.
///
/// @returns whether there is one
bool joinPending(dispatcher_state &State, const job_submitted &Event,
                 const remote_caller &Caller, effects &Effects) {
  const auto Found = State.Peers.Asks.Pending.find(Event.Job.Key);
  if (Found == State.Peers.Asks.Pending.end()) {
    return false;
  }
  claim_question &Question = State.Peers.Questions.at(Found->second);
  if (Question.Ask.Digest == Event.Job.Digest) {
    Question.Callers.push_back(Caller);
    return true;
  }
  Effects.emplace_back(answerRefusal(State, Event.Request,
                                     {Event.Job.Key, reason::KeyReused, false,
                                      "submit", State.Init.Self.Host, ""}));
  return true;
}

/// Starts a submission that its home has granted, if it is still admitted.
void onGranted(dispatcher_state &State, const claim_question &Question,
               instant Now, effects &Effects) {
  const std::string &Key = Question.Ask.Key;
  if (auto Refusal = checkAdmission(State, *Question.Job, Now)) {
    refuseCallers(State, Question, *Refusal, Effects);
    releaseKey(State, Key, Effects);
    return;
  }
  job_record &Job = startJob(State, *Question.Job, Now);
  for (const remote_caller &Caller : Question.Callers) {
    const bool Async = Caller.Wish == remote_wish::SubmitAsync;
    answerOrHold(Job, Caller.Request, Async, Effects);
  }
  enqueueJob(State, Job, Now);
  dispatchQueued(State, Now, Effects);
}

void onUnclaimed(dispatcher_state &State, const claim_question &Question,
                 effects &Effects) {
  refusal Refusal = Question.Refusal;
  if (Question.Ask.Mode == claim_mode::Find) {
    Refusal = {Question.Ask.Key,
               reason::UnknownKey,
               false,
               "find job",
               formatIdentity(Question.Home),
               ""};
  }
  refuseCallers(State, Question, Refusal, Effects);
}

void onHeld(dispatcher_state &State, const claim_question &Question,
            const host_identity &Holder, instant Now, effects &Effects) {
  for (const remote_caller &Caller : Question.Callers) {
    fetchAnswer(State, Holder, {Question.Ask.Key, Question.Ask.SubmittedAt},
                Caller, Now, Effects);
  }
}

void onAnswer(dispatcher_state &State, const claim_question &Question,
              const claim_answer &Answer, instant Now, effects &Effects) {
  const std::string &Key = Question.Ask.Key;
  const bool HasRecord = findDigest(State, Key).has_value();
  const bool MayStart =
      Question.Job && mayStart(State.Peers.Asks, Key, Answer.Number, HasRecord);
  if (Question.Job) {
    endClaim(State.Peers.Asks, Key);
  }
  switch (Answer.Outcome) {
  case claim_outcome::Granted:
    if (MayStart) {
      onGranted(State, Question, Now, Effects);
    } else {
      refuseUnreachable(State, Question, Effects);
    }
    break;
  case claim_outcome::Unclaimed:
    onUnclaimed(State, Question, Effects);
    break;
  case claim_outcome::Held:
    onHeld(State, Question, Answer.Holder, Now, Effects);
    break;
  case claim_outcome::Refused:
    refuseCallers(State, Question,
                  {Key, Answer.Reason, Answer.NotRun, "claim",
                   formatIdentity(Question.Home), ""},
                  Effects);
    break;
  }
}

/// Takes a question out of the state.
std::optional<claim_question> takeQuestion(dispatcher_state &State,
                                           std::uint64_t Number) {
  const auto Found = State.Peers.Questions.find(Number);
  if (Found == State.Peers.Questions.end()) {
    return std::nullopt;
  }
  claim_question Question = std::move(Found->second);
  State.Peers.Questions.erase(Found);
  return Question;
}

const claim_answer *findAnswer(const claims_answered &Event,
                               std::uint64_t Number) {
  const auto Found = std::find_if(
      Event.Answers.begin(), Event.Answers.end(),
      [&](const claim_answer &Answer) { return Answer.Number == Number; });
  return Found == Event.Answers.end() ? nullptr : &*Found;
}

void endQuestion(dispatcher_state &State, const claim_question &Question,
                 const claims_answered &Event, instant Now, effects &Effects) {
  const bool IsHome = Event.From == Event.Home ||
                      (Event.From && !State.Init.Rules.CheckHomeIncarnation);
  const claim_answer *Answer = findAnswer(Event, Question.Ask.Number);
  if (IsHome && Answer != nullptr) {
    onAnswer(State, Question, *Answer, Now, Effects);
    return;
  }
  if (Question.Job) {
    endClaim(State.Peers.Asks, Question.Ask.Key);
  }
  if (Event.From && isSameHost(*Event.From, Event.Home) && !IsHome) {
    onHomeDead(State, Question, Effects);
    return;
  }
  refuseUnreachable(State, Question, Effects);
}
} // namespace

remote_caller submitter(const job_submitted &Event) {
  const remote_wish Wish =
      Event.Async ? remote_wish::SubmitAsync : remote_wish::Submit;
  return {Event.Request, Wish, boot_time::max()};
}

void claimSubmission(dispatcher_state &State, const host_identity &Home,
                     const job_submitted &Event, instant Now,
                     effects &Effects) {
  const job_request &Job = Event.Job;
  const remote_caller Caller = submitter(Event);
  if (joinPending(State, Event, Caller, Effects)) {
    return;
  }
  claim_question Question;
  Question.Home = Home;
  Question.Callers.push_back(Caller);
  Question.Ask = {claim_mode::Check, Job.Key, Job.Digest, Job.SubmittedAt, 0};
  if (auto Refusal = checkSubmission(State, Event, Now)) {
    Question.Refusal = std::move(*Refusal);
    Question.Ask.Number = State.Peers.Asks.NextNumber++;
  } else {
    Question.Job = Job;
    Question.Ask.Mode = claim_mode::Grant;
    Question.Ask.Number = beginClaim(State.Peers.Asks, Job.Key);
  }
  ask(State, std::move(Question), Effects);
}

void findHolder(dispatcher_state &State, const host_identity &Home,
                const std::string &Key, const remote_caller &Caller,
                effects &Effects) {
  claim_question Question;
  Question.Home = Home;
  Question.Callers.push_back(Caller);
  Question.Ask = {claim_mode::Find, Key, 0, {}, State.Peers.Asks.NextNumber++};
  ask(State, std::move(Question), Effects);
}

void releaseKey(dispatcher_state &State, const std::string &Key,
                effects &Effects) {
  const auto Home = homeOf(State, Key);
  const bool HasRecord = findDigest(State, Key).has_value();
  const auto Number = beginRelease(State.Peers.Asks, Key, HasRecord);
  if (!Home || Home == State.Init.Self || !Number) {
    return;
  }
  claim_question Question;
  Question.Home = *Home;
  Question.Ask = {claim_mode::Release, Key, 0, {}, *Number};
  ask(State, std::move(Question), Effects);
}

void onClaimsAnswered(dispatcher_state &State, const claims_answered &Event,
                      instant Now, effects &Effects) {
  const auto Found = State.Peers.Channels.find(formatIdentity(Event.Home));
  if (Found == State.Peers.Channels.end()) {
    State.Figures.Reasons.add(reason::LateReply);
    return;
  }
  const std::vector<std::uint64_t> Sent = std::move(Found->second.Sent);
  Found->second.Sent.clear();
  for (const std::uint64_t Number : Sent) {
    if (const auto Question = takeQuestion(State, Number)) {
      endQuestion(State, *Question, Event, Now, Effects);
    }
  }
  flushChannel(State, Event.Home, Effects);
}

} // namespace tarragonbridge
