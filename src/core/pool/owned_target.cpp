#include "core/pool/owned_target_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>
#include <set>

namespace tarragonbridge::pool {

namespace {
/// A token is a term, which rises, over the number of its holder.
constexpr unsigned HolderBits = 32;
constexpr std::uint64_t HolderMask = (std::uint64_t{1} << HolderBits) - 1;

std::uint64_t makeToken(std::uint64_t Term, std::uint64_t OwnerNumber) {
  return (Term << HolderBits) | (OwnerNumber & HolderMask);
}

} // namespace

owned_target::owned_target(const target_record &Record,
                           std::uint64_t OwnerNumber, std::uint64_t KnownTerm)
    : Record(Record),
      Token(makeToken(KnownTerm == 0 ? 1 : KnownTerm + config::TermMargin,
                      OwnerNumber)) {}

std::uint64_t owned_target::termOf(std::uint64_t Token) {
  return Token >> HolderBits;
}

std::uint64_t owned_target::term() const { return termOf(Token); }

void owned_target::acceptHandover(const target_handover &Handover,
                                  ownership_context &Context) {
  Token = makeToken(termOf(Handover.Token) + 1, Context.OwnerNumber);
  if (Handover.Incarnation == Record.Incarnation) {
    LastOutcomeNumber = Handover.LastOutcomeNumber;
  }
  for (const handover_attempt &Handed : Handover.Attempts) {
    owned_attempt Attempt;
    Attempt.Task.Attempt = Handed.Attempt;
    Attempt.Task.Coordinator = Handed.Coordinator;
    Attempt.Task.RequiredResources = Handed.RequiredResources;
    Attempt.Task.ExpectedRunTime = Handed.ExpectedRunTime;
    Attempt.StartedAt = Context.Now - Handed.Age;
    Attempt.ConfirmedAt = Context.Now;
    Attempt.Phase =
        Handed.IsConfirmed ? attempt_phase::Running : attempt_phase::InDoubt;
    Attempt.InDoubtSince = Context.Now;
    Attempt.ProbeAt = Context.Now + Handed.ExpectedRunTime;
    Attempts.emplace(Handed.Attempt, std::move(Attempt));
  }
  // The owner before may have renewed the lease just now.
  LeaseExpiredBy = Context.Now + 2 * Context.MaxLeaseTime;
}

target_handover owned_target::handOver(boot_time Now) const {
  target_handover Handover;
  Handover.Target = Record.Id;
  Handover.Token = Token;
  Handover.LastOutcomeNumber = LastOutcomeNumber;
  Handover.Incarnation = Record.Incarnation;
  for (const auto &[Ref, Attempt] : Attempts) {
    Handover.Attempts.push_back(
        {Ref, Attempt.Task.Coordinator, Attempt.Task.RequiredResources,
         Attempt.Task.ExpectedRunTime, until(Now, Attempt.StartedAt),
         Attempt.Phase == attempt_phase::Running});
  }
  return Handover;
}

void owned_target::updateRecord(const target_record &Listed,
                                ownership_context &Context) {
  IsRemoved = false;
  const std::int64_t Incarnation = Listed.Incarnation;
  const bool IsNewer = Incarnation > Record.Incarnation;
  if (Incarnation < Record.Incarnation) {
    return; // a list that lags
  }
  Record = Listed;
  if (IsNewer) {
    restart(Incarnation, Context);
  }
}

void owned_target::start(queued_task Task, milliseconds ProbeAfter,
                         ownership_context &Context) {
  const attempt_ref Ref = Task.Attempt;
  owned_attempt &Attempt = Attempts[Ref];
  Attempt = {};
  Attempt.Task = std::move(Task);
  Attempt.Token = Token;
  Attempt.StartedAt = Context.Now;
  Attempt.ProbeAt = Context.Now + ProbeAfter;
  const std::optional<milliseconds> Deadline = deadline(Context);
  if (!Deadline) {
    // Nothing is sent; the coordinator finds another place.
    end(Ref, attempt_outcome::NotStarted, false, Context);
    return;
  }
  const auto &Specification = Attempt.Task.Specification;
  Context.Effects.emplace_back(
      start_attempt{Record.Id, Record.Address, Record.Incarnation, Ref, Token,
                    Specification ? *Specification : std::string(), *Deadline,
                    NewConnection});
  NewConnection = false;
  Context.Counters.add(counter::AttemptsStarted);
}

void owned_target::stop(const attempt_ref &Ref, std::string_view Reason,
                        ownership_context &Context) {
  const auto Found = Attempts.find(Ref);
  if (Found == Attempts.end() || Found->second.IsStopRequested) {
    return;
  }
  Found->second.IsStopRequested = true;
  Found->second.StopReason = Reason;
  logAttempt("attempt_stopped", Ref, Reason, Context);
  if (Phase != ownership_phase::Lost) {
    sendStop(Found->second, Context);
  }
}

void owned_target::sendStop(owned_attempt &Attempt,
                            ownership_context &Context) {
  Attempt.StopDueAt = Context.Now + config::CommandTimeout;
  Context.Effects.emplace_back(
      stop_attempt{Record.Id, Record.Address, Attempt.Task.Attempt, Token});
}

void owned_target::logAttempt(std::string Event, const attempt_ref &Attempt,
                              std::string_view Reason,
                              ownership_context &Context) const {
  Context.Effects.emplace_back(
      log_line{std::move(Event),
               {{"job", Attempt.Job},
                {"step", std::to_string(Attempt.Step)},
                {"task", std::to_string(Attempt.Task)},
                {"run", std::to_string(Attempt.AttemptNumber)},
                {"target", Record.Id},
                {"reason", std::string(Reason)},
                {"term", std::to_string(termOf(Token))}}});
}

void owned_target::onStartResponse(const start_response &Answer,
                                   ownership_context &Context) {
  noteClock(Answer.TargetClock, Context.Now);
  const auto Found = Attempts.find(Answer.Attempt);
  if (Found == Attempts.end() || Found->second.Phase != attempt_phase::Sent ||
      Found->second.Token != Answer.Token) {
    return;
  }
  owned_attempt &Attempt = Found->second;
  switch (Answer.Outcome) {
  case command_outcome::Accepted:
    ConsecutiveUnanswered = 0;
    Attempt.Phase = attempt_phase::Running;
    Attempt.ConfirmedAt = Context.Now;
    return;
  case command_outcome::Fenced:
    Context.Counters.add(counter::StartsFenced);
    logAttempt("attempt_not_started", Answer.Attempt, nameOf(Answer.Outcome),
               Context);
    end(Answer.Attempt, attempt_outcome::NotStarted, true, Context);
    if (Answer.Token == Token && Phase != ownership_phase::Lost) {
      loseToOther("fenced", Context);
    }
    return;
  case command_outcome::NoAnswer:
    Context.Counters.add(counter::StartsUnanswered);
    noteUnanswered(Attempt.StartedAt, Context);
    markInDoubt(Attempt, nameOf(Answer.Outcome), Context);
    return;
  case command_outcome::OldRun:
    Context.Counters.add(counter::StartsRefused);
    Attempt.NeedsHigherAttemptNumber = true;
    markInDoubt(Attempt, nameOf(Answer.Outcome), Context);
    return;
  case command_outcome::OtherIncarnation:
    // Another process has the address: this target is gone.
    IsRemoved = true;
    markInDoubt(Attempt, nameOf(Answer.Outcome), Context);
    return;
  case command_outcome::Unhealthy:
  case command_outcome::NotSent:
    noteUnanswered(Attempt.StartedAt, Context);
    [[fallthrough]];
  case command_outcome::TooLate:
  case command_outcome::NoRoom:
    Context.Counters.add(counter::StartsRefused);
    logAttempt("attempt_not_started", Answer.Attempt, nameOf(Answer.Outcome),
               Context);
    end(Answer.Attempt, attempt_outcome::NotStarted, true, Context);
    return;
  case command_outcome::Rejected:
    Context.Counters.add(counter::StartsRefused);
    end(Answer.Attempt, attempt_outcome::Failed, false, Context);
    return;
  }
}

void owned_target::onStopResponse(const stop_response &Answer,
                                  ownership_context &Context) {
  if (Answer.Outcome == command_outcome::Fenced && Answer.Token == Token &&
      Phase != ownership_phase::Lost) {
    loseToOther("fenced", Context);
  }
}

void owned_target::onRenewalResponse(const renewal_response &Answer,
                                     ownership_context &Context) {
  const auto Found = RenewalsInFlight.find(Answer.RenewalNumber);
  if (Found == RenewalsInFlight.end() || Found->second.Token != Answer.Token) {
    return; // or of a call from before the target went to another host and back
  }
  const renewal_request Call = Found->second;
  RenewalsInFlight.erase(Found);
  switch (Answer.Outcome) {
  case command_outcome::Accepted:
    break;
  case command_outcome::Fenced:
    if (Call.Token != Token || Phase == ownership_phase::Lost) {
      return;
    }
    if (Phase == ownership_phase::Acquiring && Attempts.empty()) {
      // Its highest token isn't told: go up in growing steps.
      Token = makeToken(termOf(Token) + TermIncrement, Context.OwnerNumber);
      TermIncrement *= 2;
      ListDueAt = Context.Now;
      Context.Counters.add(counter::TokensRaised);
      return;
    }
    loseToOther("fenced", Context);
    return;
  case command_outcome::OtherIncarnation:
    IsRemoved = true;
    noteUnanswered(Call.SentAt, Context);
    return;
  default:
    Context.Counters.add(counter::HoldsUnanswered);
    noteUnanswered(Call.SentAt, Context);
    return;
  }
  if (Answer.Incarnation != 0 && Answer.Incarnation != Record.Incarnation) {
    if (Answer.Incarnation > Record.Incarnation) {
      restart(Answer.Incarnation, Context);
    }
    return;
  }
  ConsecutiveUnanswered = 0;
  RenewalBackoff = milliseconds(0);
  AckedOutcomeNumber = std::max(AckedOutcomeNumber, Call.LastOutcomeNumber);
  noteClock(Answer.TargetClock, Context.Now);
  applyOutcomes(Answer, Context);
  applyListing(Answer, Call, Context);
}

void owned_target::applyOutcomes(const renewal_response &Answer,
                                 ownership_context &Context) {
  for (const listed_outcome &Listed : Answer.Outcomes) {
    if (Listed.Number <= LastOutcomeNumber) {
      continue;
    }
    LastOutcomeNumber = Listed.Number;
    ListedOutcomes[Listed.Attempt] = Context.Now;
    end(Listed.Attempt, Listed.Outcome, false, Context);
  }
}

void owned_target::applyListing(const renewal_response &Answer,
                                const renewal_request &Call,
                                ownership_context &Context) {
  const std::set<attempt_ref> Running(Answer.Running.begin(),
                                      Answer.Running.end());
  std::vector<attempt_ref> Missing;
  for (auto &[Ref, Attempt] : Attempts) {
    if (Running.contains(Ref)) {
      if (Attempt.Phase != attempt_phase::Running) {
        Attempt.Phase = attempt_phase::Running;
        Attempt.ConfirmedAt = Context.Now;
      }
      continue;
    }
    const bool WasThere = Attempt.Phase == attempt_phase::Running &&
                          Attempt.ConfirmedAt < Call.SentAt;
    const bool NeverCame =
        Attempt.Phase == attempt_phase::InDoubt &&
        Attempt.InDoubtSince <= Call.SentAt &&
        (Attempt.Token < Call.Token || !Context.Rules.RaiseTokenInDoubt);
    if (WasThere || NeverCame) {
      Missing.push_back(Ref);
    }
  }
  // Ends past the list's bound come with the next one.
  constexpr std::size_t MaxListedEnds = 500;
  const bool AllEndsListed = Answer.Outcomes.size() < MaxListedEnds;
  for (const attempt_ref &Ref : Missing) {
    if (AllEndsListed) {
      const owned_attempt &Attempt = Attempts.at(Ref);
      const bool NeverRan = Attempt.Phase == attempt_phase::InDoubt;
      logAttempt(NeverRan ? "attempt_not_started" : "attempt_lost", Ref,
                 "not_in_list", Context);

      end(Ref, NeverRan ? attempt_outcome::NotStarted : attempt_outcome::Lost,
          NeverRan && !Attempt.NeedsHigherAttemptNumber, Context);
    }
  }
  forgetOldEnds(Context.Now);
  HasUnknown = false;
  for (const attempt_ref &Ref : Answer.Running) {
    const auto ListedEnd = ListedOutcomes.find(Ref);
    const bool HasEnded =
        ListedEnd != ListedOutcomes.end() && ListedEnd->second >= Call.SentAt;
    if (Attempts.contains(Ref) || HasEnded ||
        !Context.Rules.StopUnknownAttempts) {
      continue;
    }
    HasUnknown = true;
    Context.Counters.add(counter::UnknownStopped);
    logAttempt("attempt_unknown", Ref, "in_list", Context);
    Context.Effects.emplace_back(
        stop_attempt{Record.Id, Record.Address, Ref, Token});
  }
  if (HasUnknown) {
    // Another host started them, under a token that is lower by chance: room
    // is proved again only by a list without them.
    Phase = ownership_phase::Acquiring;
    ListDueAt = Context.Now + config::RenewalRetryDelay;
  }
  if (Call.Token == Token && !HasUnknown) {
    ConfirmedToken = Token;
    if (Phase == ownership_phase::Acquiring) {
      Phase = ownership_phase::Held;
      TermIncrement = 1;
    }
  }
}

void owned_target::forgetOldEnds(boot_time Now) {
  constexpr milliseconds KeptFor{3'000}; // past the longest hold
  std::erase_if(ListedOutcomes, [&](const auto &Entry) {
    return Entry.second + KeptFor < Now;
  });
}

void owned_target::raiseToken(ownership_context &Context) {
  Token = makeToken(termOf(Token) + 1, Context.OwnerNumber);
  ListNeededSince = Context.Now;
  ListDueAt = Context.Now;
  Context.Counters.add(counter::TokensRaised);
}

void owned_target::markInDoubt(owned_attempt &Attempt, std::string_view Reason,
                               ownership_context &Context) {
  Attempt.Phase = attempt_phase::InDoubt;
  Attempt.InDoubtSince = Context.Now;
  logAttempt("attempt_doubted", Attempt.Task.Attempt, Reason, Context);
  if (Attempt.Token == Token && Context.Rules.RaiseTokenInDoubt) {
    // A list under the same token could be overtaken by the start.
    raiseToken(Context);
  }
  ListDueAt = std::min(ListDueAt, Context.Now);
}

void owned_target::loseToOther(std::string_view Reason,
                               ownership_context &Context) {
  Context.Counters.add(counter::TargetsLost);
  Context.Effects.emplace_back(
      log_line{"target_lost",
               {{"target", Record.Id},
                {"reason", std::string(Reason)},
                {"term", std::to_string(termOf(Token))},
                {"attempts", std::to_string(Attempts.size())}}});
  if (Context.Rules.YieldWhenFenced) {
    Phase = ownership_phase::Lost;
    RenewalsInFlight.clear();
  }
}

void owned_target::restart(std::int64_t Incarnation,
                           ownership_context &Context) {
  Context.Effects.emplace_back(
      log_line{"target_restarted",
               {{"target", Record.Id},
                {"incarnation", std::to_string(Incarnation)},
                {"attempts", std::to_string(Attempts.size())}}});
  Record.Incarnation = Incarnation;
  RenewalsInFlight.clear();
  LastOutcomeNumber = 0;
  AckedOutcomeNumber = 0;
  Clock.reset();
  HasUnknown = false;
  if (Phase == ownership_phase::Lost) {
    return;
  }
  // Any attempt may be one of the new process: its list decides.
  Phase = ownership_phase::Acquiring;
  raiseToken(Context);
  for (auto &[Ref, Attempt] : Attempts) {
    if (Attempt.Phase == attempt_phase::Sent) {
      markInDoubt(Attempt, "target_restarted", Context);
    }
  }
}

void owned_target::end(const attempt_ref &Ref, attempt_outcome End,
                       bool CanRequeue, ownership_context &Context) {
  const auto Found = Attempts.find(Ref);
  if (Found == Attempts.end()) {
    return;
  }
  owned_attempt &Attempt = Found->second;
  const bool IsRunTimeExact = LastUnansweredSentAt < Attempt.StartedAt;
  Ended.push_back({std::move(Attempt.Task), End,
                   until(Context.Now, Attempt.StartedAt),
                   CanRequeue && !Attempt.IsStopRequested, IsRunTimeExact});
  Attempts.erase(Found);
}

void owned_target::endAll(attempt_outcome End, ownership_context &Context) {
  while (!Attempts.empty()) {
    logAttempt("attempt_lost", Attempts.begin()->first, "lease_over", Context);
    end(attempt_ref(Attempts.begin()->first), End, false, Context);
  }
}

std::vector<ended_attempt> owned_target::extractEnded() {
  return std::exchange(Ended, {});
}

resource_vector owned_target::freeCapacity() const {
  if (Phase != ownership_phase::Held || !isConfirmed()) {
    return {};
  }
  resource_vector Room = Record.Capacity;
  for (const auto &[Ref, Attempt] : Attempts) {
    Room -= Attempt.Task.RequiredResources;
  }
  return Room;
}

bool owned_target::isUnresponsive() const {
  return ConsecutiveUnanswered >= config::UnresponsiveAfterFailures;
}

bool owned_target::isSchedulable() const {
  return Phase == ownership_phase::Held && isConfirmed() && !IsRemoved &&
         !Record.IsDraining && !isUnresponsive() && Clock.has_value() &&
         ConsecutiveUnanswered == 0;
}

bool owned_target::isFinished() const {
  return Attempts.empty() && (Phase == ownership_phase::Lost || IsRemoved);
}

} // namespace tarragonbridge::pool
