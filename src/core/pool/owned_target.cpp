#include "core/pool/owned_target_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::pool {

namespace {
/// A token has a rising term above the number of its owner.
constexpr unsigned OwnerNumberBits = 32;
constexpr std::uint64_t OwnerNumberMask =
    (std::uint64_t{1} << OwnerNumberBits) - 1;

std::uint64_t makeToken(std::uint64_t Term, std::uint64_t OwnerNumber) {
  return (Term << OwnerNumberBits) | (OwnerNumber & OwnerNumberMask);
}

} // namespace

owned_target::owned_target(const target_record &Record,
                           std::uint64_t OwnerNumber, std::uint64_t KnownTerm)
    : Record(Record), RecordedIncarnation(Record.Incarnation),
      Token(makeToken(KnownTerm == 0 ? 1 : KnownTerm + config::TermMargin,
                      OwnerNumber)) {}

std::uint64_t owned_target::termOf(std::uint64_t Token) {
  return Token >> OwnerNumberBits;
}

std::uint64_t owned_target::term() const { return termOf(Token); }

void owned_target::acceptHandover(const target_handover &Handover,
                                  ownership_context &Context) {
  Token = makeToken(termOf(Handover.Token) + 1, Context.OwnerNumber);
  if (Handover.Incarnation == Record.Incarnation) {
    LastOutcomeNumber = Handover.LastOutcomeNumber;
  }
  for (const handover_attempt &Transferred : Handover.Attempts) {
    owned_attempt Attempt;
    Attempt.Task.Attempt = Transferred.Attempt;
    Attempt.Task.Coordinator = Transferred.Coordinator;
    Attempt.Task.RequiredResources = Transferred.RequiredResources;
    Attempt.Task.ExpectedRunTime = Transferred.ExpectedRunTime;
    Attempt.StartedAt = Context.Now - Transferred.Age;
    Attempt.ConfirmedAt = Context.Now;
    Attempt.Phase = Transferred.IsConfirmed ? attempt_phase::Running
                                            : attempt_phase::InDoubt;
    Attempt.InDoubtSince = Context.Now;
    Attempt.ProbeAt = Context.Now + Transferred.ExpectedRunTime;
    Attempts.emplace(Transferred.Attempt, std::move(Attempt));
  }
  // The previous owner may just have renewed the lease.
  LeaseExpiredBy = Context.Now + 2 * Context.MaxLeaseTime;
}

std::vector<attempt_ref>
owned_target::reassignedOf(const host_ref &Coordinator) const {
  std::vector<attempt_ref> Reassigned;
  for (const auto &[Ref, Attempt] : Attempts) {
    const bool WasHandedOver = Attempt.Task.Specification == nullptr;
    if (WasHandedOver && Attempt.Task.Coordinator == Coordinator) {
      Reassigned.push_back(Ref);
    }
  }
  return Reassigned;
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
  if (isOutdated(Listed)) {
    return;
  }
  const std::int64_t Incarnation = Listed.Incarnation;
  const bool HasRestarted = Incarnation != Record.Incarnation;
  Record = Listed;
  RecordedIncarnation = Incarnation;
  if (HasRestarted) {
    handleRestart(Incarnation, Context);
  }
}

bool owned_target::isOutdated(const target_record &Listed) const {
  if (Listed.Revision == 0 || Record.Revision == 0) {
    return Listed.Incarnation < Record.Incarnation;
  }
  const bool IsRecordedBefore = Listed.Incarnation == RecordedIncarnation &&
                                Listed.Incarnation != Record.Incarnation;
  return Listed.Revision < Record.Revision || IsRecordedBefore;
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
  const std::optional<milliseconds> Deadline = makeLeaseDeadline(Context);
  if (!Deadline) {
    // Nothing is sent; the coordinator places the task elsewhere.
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
  // Its caller may have left as early as the coordinator was last proved alive.
  Found->second.StopLeaseLimit =
      std::min(Context.Now + config::LeaseAfterStopRequest,
               expiryLimitFor(Found->second.Task.Coordinator, Context));
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

void owned_target::onStartResponse(const start_response &Response,
                                   ownership_context &Context) {
  const auto Found = Attempts.find(Response.Attempt);
  if (Found == Attempts.end() || Found->second.Phase != attempt_phase::Sent ||
      Found->second.Token != Response.Token) {
    return; // perhaps of an earlier incarnation, whose clock was another
  }
  recordClock(Response.TargetClock, Context.Now);
  owned_attempt &Attempt = Found->second;
  switch (Response.Outcome) {
  case command_outcome::Accepted:
    ConsecutiveUnanswered = 0;
    Attempt.Phase = attempt_phase::Running;
    Attempt.ConfirmedAt = Context.Now;
    return;
  case command_outcome::Fenced:
    Context.Counters.add(counter::StartsFenced);
    logAttempt("attempt_not_started", Response.Attempt,
               nameOf(Response.Outcome), Context);
    end(Response.Attempt, attempt_outcome::NotStarted, true, Context);
    if (Response.Token == Token && Phase != ownership_phase::Lost) {
      loseToOther("fenced", Context);
    }
    return;
  case command_outcome::NoAnswer:
    Context.Counters.add(counter::StartsUnanswered);
    recordUnanswered(Attempt.StartedAt, Context);
    markInDoubt(Attempt, nameOf(Response.Outcome), Context);
    return;
  case command_outcome::OldRun:
    Context.Counters.add(counter::StartsRefused);
    Attempt.NeedsHigherAttemptNumber = true;
    markInDoubt(Attempt, nameOf(Response.Outcome), Context);
    return;
  case command_outcome::OtherIncarnation:
    // Another process has the address, so this target no longer exists.
    IsRemoved = true;
    markInDoubt(Attempt, nameOf(Response.Outcome), Context);
    return;
  case command_outcome::Unhealthy:
  case command_outcome::NotSent:
    recordUnanswered(Attempt.StartedAt, Context);
    [[fallthrough]];
  case command_outcome::TooLate:
  case command_outcome::NoRoom:
    Context.Counters.add(counter::StartsRefused);
    logAttempt("attempt_not_started", Response.Attempt,
               nameOf(Response.Outcome), Context);
    end(Response.Attempt, attempt_outcome::NotStarted, true, Context);
    return;
  case command_outcome::Rejected:
    Context.Counters.add(counter::StartsRefused);
    end(Response.Attempt, attempt_outcome::Failed, false, Context);
    return;
  }
}

void owned_target::onStopResponse(const stop_response &Response,
                                  ownership_context &Context) {
  if (Response.Outcome == command_outcome::Fenced && Response.Token == Token &&
      Phase != ownership_phase::Lost) {
    loseToOther("fenced", Context);
  }
}

void owned_target::onRenewalResponse(const renewal_response &Response,
                                     ownership_context &Context) {
  const auto Found = RenewalsInFlight.find(Response.RenewalNumber);
  if (Found == RenewalsInFlight.end() ||
      Found->second.Token != Response.Token) {
    return; // timed out, or sent before the target moved to another host and
            // back
  }
  const renewal_request Request = Found->second;
  RenewalsInFlight.erase(Found);
  switch (Response.Outcome) {
  case command_outcome::Accepted:
    break;
  case command_outcome::Fenced:
    if (Request.Token != Token || Phase == ownership_phase::Lost) {
      return;
    }
    if (Phase == ownership_phase::Acquiring && Attempts.empty()) {
      // The response doesn't tell the highest token: raise the term in growing
      // steps.
      Token = makeToken(termOf(Token) + TermIncrement, Context.OwnerNumber);
      TermIncrement *= 2;
      ListingDueAt = Context.Now;
      Context.Counters.add(counter::TokensRaised);
      return;
    }
    loseToOther("fenced", Context);
    return;
  case command_outcome::OtherIncarnation:
    IsRemoved = true;
    recordUnanswered(Request.SentAt, Context);
    return;
  default:
    Context.Counters.add(counter::HoldsUnanswered);
    recordUnanswered(Request.SentAt, Context);
    return;
  }
  if (Response.Incarnation != 0 && Response.Incarnation != Record.Incarnation) {
    // The request was sent when the recorded incarnation was known already, so
    // this one is later, whichever number is higher.
    handleRestart(Response.Incarnation, Context);
    return;
  }
  ConsecutiveUnanswered = 0;
  RenewalBackoff = milliseconds(0);
  AckedOutcomeNumber = std::max(AckedOutcomeNumber, Request.LastOutcomeNumber);
  recordClock(Response.TargetClock, Context.Now);
  applyOutcomes(Response, Context);
  applyListing(Response, Request, Context);
}

void owned_target::raiseToken(ownership_context &Context) {
  Token = makeToken(termOf(Token) + 1, Context.OwnerNumber);
  ListingNeededSince = Context.Now;
  ListingDueAt = Context.Now;
  Context.Counters.add(counter::TokensRaised);
}

void owned_target::markInDoubt(owned_attempt &Attempt, std::string_view Reason,
                               ownership_context &Context) {
  Attempt.Phase = attempt_phase::InDoubt;
  Attempt.InDoubtSince = Context.Now;
  logAttempt("attempt_doubted", Attempt.Task.Attempt, Reason, Context);
  if (Attempt.Token == Token && Context.Rules.RaiseTokenInDoubt) {
    // The start could still arrive after a listing under the same token.
    raiseToken(Context);
  }
  ListingDueAt = std::min(ListingDueAt, Context.Now);
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

void owned_target::handleRestart(std::int64_t Incarnation,
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
  HasUnknownAttempts = false;
  for (auto &[Ref, Attempt] : Attempts) {
    Attempt.HasTargetRestarted = true;
  }
  if (Phase == ownership_phase::Lost) {
    return;
  }
  // Any attempt may run in the new process: its listing decides.
  Phase = ownership_phase::Acquiring;
  raiseToken(Context);
  for (auto &[Ref, Attempt] : Attempts) {
    if (Attempt.Phase == attempt_phase::Sent) {
      markInDoubt(Attempt, "target_restarted", Context);
    }
  }
}

void owned_target::end(const attempt_ref &Ref, attempt_outcome AttemptOutcome,
                       bool CanRequeue, ownership_context &Context) {
  const auto Found = Attempts.find(Ref);
  if (Found == Attempts.end()) {
    return;
  }
  owned_attempt &Attempt = Found->second;
  const bool IsRunTimeExact = hasRespondedSince(Attempt.StartedAt);
  Ended.push_back({std::move(Attempt.Task), AttemptOutcome,
                   until(Context.Now, Attempt.StartedAt),
                   CanRequeue && !Attempt.IsStopRequested, IsRunTimeExact,
                   Record.Incarnation});
  Attempts.erase(Found);
}

void owned_target::endAllAttempts(ownership_context &Context) {
  while (!Attempts.empty()) {
    const auto &[Ref, Attempt] = *Attempts.begin();
    attempt_outcome Outcome = attempt_outcome::Lost;
    std::string_view Reason = "lease_over";
    if (Attempt.HasTargetRestarted) {
      Outcome = attempt_outcome::Crashed;
      Reason = "target_restarted";
    } else if (isUnresponsive()) {
      Outcome = attempt_outcome::Vanished;
      Reason = "target_silent";
    }
    logAttempt("attempt_lost", Ref, Reason, Context);
    end(attempt_ref(Ref), Outcome, false, Context);
  }
}

std::vector<ended_attempt> owned_target::extractEnded() {
  return std::exchange(Ended, {});
}

resource_vector owned_target::freeCapacity() const {
  if (Phase != ownership_phase::Held || !isConfirmed() || !isCapacityKnown()) {
    return {};
  }
  resource_vector Free = Record.Capacity;
  std::size_t StartsInFlight = 0;
  for (const auto &[Ref, Attempt] : Attempts) {
    if (Attempt.Task.RunsAlone) {
      return {};
    }
    Free -= Attempt.Task.RequiredResources;
    StartsInFlight += Attempt.Phase == attempt_phase::Sent ? 1 : 0;
  }
  return StartsInFlight < config::MaxStartsInFlight ? Free : resource_vector{};
}

bool owned_target::isUnresponsive() const {
  return ConsecutiveUnanswered >= config::UnresponsiveAfterFailures;
}

bool owned_target::isSchedulable() const {
  return Phase == ownership_phase::Held && isConfirmed() && isCapacityKnown() &&
         !IsRemoved && !Record.IsDraining && !isUnresponsive() &&
         Clock.has_value() && ConsecutiveUnanswered == 0;
}

bool owned_target::isFinished() const {
  return Attempts.empty() && Ended.empty() &&
         (Phase == ownership_phase::Lost || IsRemoved);
}

bool owned_target::canHandOver() const {
  return Phase == ownership_phase::Held && Ended.empty();
}

} // namespace tarragonbridge::pool
