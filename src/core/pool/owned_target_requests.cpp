// When a host calls its targets: lists, waiting holds, leases, time-outs.
#include "core/pool/owned_target_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::pool {

void owned_target::onTimer(ownership_context &Context) {
  const boot_time Now = Context.Now;
  for (auto Call = RenewalsInFlight.begin(); Call != RenewalsInFlight.end();) {
    if (Call->second.TimeoutAt <= Now) {
      const boot_time SentAt = Call->second.SentAt;
      Call = RenewalsInFlight.erase(Call);
      Context.Counters.add(counter::HoldsUnanswered);
      noteUnanswered(SentAt, Context);
    } else {
      ++Call;
    }
  }
  const bool LeaseIsOver =
      LeaseExpiredBy != boot_time{} && Now >= LeaseExpiredBy;
  if (LeaseIsOver || (!Context.Rules.WaitForLeaseExpiry && isUnresponsive())) {
    endAll(attempt_outcome::Lost, Context);
  }
  if (Phase == ownership_phase::Lost) {
    return;
  }
  for (auto &[Ref, Attempt] : Attempts) {
    if (Attempt.IsStopRequested && Attempt.StopDueAt <= Now) {
      sendStop(Attempt, Context);
    }
  }
  if (IsRemoved && Attempts.empty()) {
    return;
  }
  if (wantsList() && listDueAt() <= Now) {
    sendRenewal(milliseconds(0), Context);
  }
  if (Phase == ownership_phase::Held && wantsLongPoll() &&
      RenewalBackoffUntil <= Now) {
    sendRenewal(Attempts.empty() ? config::IdleRenewalWait
                                 : config::RenewalWait,
                Context);
  }
}

bool owned_target::needsList() const {
  if (Phase == ownership_phase::Acquiring || !isConfirmed() || HasUnknown ||
      ConsecutiveUnanswered > 0) {
    return true;
  }
  return std::any_of(Attempts.begin(), Attempts.end(), [](const auto &Entry) {
    return Entry.second.Phase == attempt_phase::InDoubt;
  });
}

bool owned_target::wantsList() const {
  return !hasListingInFlight() && (needsList() || !Attempts.empty());
}

boot_time owned_target::listDueAt() const {
  const boot_time Due = std::max(ListDueAt, RenewalBackoffUntil);
  if (needsList()) {
    return Due;
  }
  return std::max(
      Due, std::min(LeaseHeldUntil - config::LeaseRenewalLead, probeDueAt()));
}

boot_time owned_target::probeDueAt() const {
  boot_time Due = boot_time::max();
  for (const auto &[Ref, Attempt] : Attempts) {
    Due = std::min(Due, Attempt.ProbeAt);
  }
  return Due;
}

bool owned_target::wantsLongPoll() const {
  return !hasLongPollInFlight() &&
         (!Attempts.empty() || LastOutcomeNumber > AckedOutcomeNumber);
}

bool owned_target::hasListingInFlight() const {
  return std::any_of(RenewalsInFlight.begin(), RenewalsInFlight.end(),
                     [this](const auto &Entry) {
                       return Entry.second.IsList &&
                              Entry.second.Token == Token &&
                              Entry.second.SentAt >= ListNeededSince;
                     });
}

bool owned_target::hasLongPollInFlight() const {
  return std::any_of(RenewalsInFlight.begin(), RenewalsInFlight.end(),
                     [this](const auto &Entry) {
                       return !Entry.second.IsList &&
                              Entry.second.LastOutcomeNumber ==
                                  LastOutcomeNumber;
                     });
}

void owned_target::sendRenewal(milliseconds Wait, ownership_context &Context) {
  renewal_request Call;
  Call.SentAt = Context.Now;
  Call.TimeoutAt = Context.Now + Wait +
                   (Wait == milliseconds(0) ? config::ListingTimeout
                                            : config::RenewalTimeoutMargin);
  Call.Token = Token;
  Call.LastOutcomeNumber = LastOutcomeNumber;
  Call.IsList = Wait == milliseconds(0);
  const std::uint64_t Number = ++LastRenewalNumber;
  // A deadline would prolong what runs unknown.
  // To a mute target it would put the proof of the ends off.
  const bool MayProlong = Phase == ownership_phase::Held && !Attempts.empty() &&
                          ConsecutiveUnanswered == 0;
  Context.Effects.emplace_back(renew_target_lease{
      Record.Id, Record.Address, Token, Number, LastOutcomeNumber,
      MayProlong ? deadline(Context) : std::nullopt, Wait, NewConnection});
  NewConnection = false;
  RenewalsInFlight.emplace(Number, Call);
  Context.Counters.add(counter::HoldsSent);
  if (!Call.IsList) {
    return;
  }
  ListDueAt = Context.Now + config::MinListingInterval;
  for (auto &[Ref, Attempt] : Attempts) {
    if (Attempt.ProbeAt <= Context.Now) {
      // Ask ever more rarely for one that takes its time.
      Attempt.ProbeAt =
          Context.Now + std::max<microseconds>(Context.Now - Attempt.StartedAt,
                                               config::MinListingInterval);
    }
  }
}

boot_time owned_target::leaseBound(const ownership_context &Context) const {
  boot_time Bound = Context.Now + Context.MaxLeaseTime;
  if (!Context.Rules.BoundLeaseByCoordinatorContact ||
      !Context.LastReceivedAt) {
    return Bound;
  }
  for (const auto &[Ref, Attempt] : Attempts) {
    Bound = std::min(Bound, Context.LastReceivedAt(Attempt.Task.Coordinator) +
                                config::LeaseAfterCoordinatorContact);
  }
  return Bound;
}

std::optional<milliseconds> owned_target::deadline(ownership_context &Context) {
  const boot_time Until = leaseBound(Context);
  if (!Clock || Until <= Context.Now) {
    return std::nullopt;
  }
  const milliseconds SinceRead = until(Context.Now, ClockAt);
  const milliseconds Lease = until(Until, Context.Now);
  LeaseHeldUntil = std::max(LeaseHeldUntil, Until);
  const auto Error = std::chrono::duration_cast<milliseconds>(
      config::TargetClockDriftFraction * (SinceRead + Lease));
  LeaseExpiredBy =
      std::max(LeaseExpiredBy, Until + Error + config::TargetClockMargin);
  return *Clock + SinceRead + Lease;
}

void owned_target::noteClock(std::optional<milliseconds> Reading,
                             boot_time Now) {
  if (!Reading) {
    return;
  }
  // Answers overtake each other: keep the reading that is furthest ahead.
  if (Clock && *Reading < *Clock) {
    return;
  }
  Clock = Reading;
  ClockAt = Now;
}

void owned_target::noteUnanswered(boot_time SentAt,
                                  ownership_context &Context) {
  ++ConsecutiveUnanswered;
  LastUnansweredSentAt = std::max(LastUnansweredSentAt, SentAt);
  NewConnection = true;
  RenewalBackoff = std::min<milliseconds>(
      std::max<milliseconds>(2 * RenewalBackoff, config::RenewalRetryDelay),
      config::MaxRenewalBackoff);
  // With attempts there, the lease is at stake: ask on.
  const milliseconds Pause =
      Attempts.empty() ? RenewalBackoff
                       : std::min<milliseconds>(RenewalBackoff,
                                                2 * config::RenewalRetryDelay);
  RenewalBackoffUntil = Context.Now + Pause;
}

boot_time owned_target::nextDue(boot_time Now) const {
  boot_time Due = boot_time::max();
  for (const auto &[Number, Call] : RenewalsInFlight) {
    Due = std::min(Due, Call.TimeoutAt);
  }
  if (!Attempts.empty() && LeaseExpiredBy != boot_time{}) {
    Due = std::min(Due, LeaseExpiredBy);
  }
  if (Phase == ownership_phase::Lost || (IsRemoved && Attempts.empty())) {
    return std::max(Due, Now);
  }
  for (const auto &[Ref, Attempt] : Attempts) {
    if (Attempt.IsStopRequested) {
      Due = std::min(Due, Attempt.StopDueAt);
    }
  }
  if (wantsList()) {
    Due = std::min(Due, listDueAt());
  }
  if (Phase == ownership_phase::Held && wantsLongPoll()) {
    Due = std::min(Due, RenewalBackoffUntil);
  }
  return std::max(Due, Now);
}

} // namespace tarragonbridge::pool
