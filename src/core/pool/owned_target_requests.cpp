// When requests go to an owned target: listings, long-polling lease renewals,
// lease deadlines, timeouts.
#include "core/pool/owned_target_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::pool {

void owned_target::onTimer(ownership_context &Context) {
  const boot_time Now = Context.Now;
  for (auto Request = RenewalsInFlight.begin();
       Request != RenewalsInFlight.end();) {
    if (Request->second.TimeoutAt <= Now) {
      const boot_time SentAt = Request->second.SentAt;
      Request = RenewalsInFlight.erase(Request);
      Context.Counters.add(counter::HoldsUnanswered);
      recordUnanswered(SentAt, Context);
    } else {
      ++Request;
    }
  }
  const bool IsLeaseExpired =
      LeaseExpiredBy != boot_time{} && Now >= LeaseExpiredBy;
  if (IsLeaseExpired ||
      (!Context.Rules.WaitForLeaseExpiry && isUnresponsive())) {
    endAllAttempts(Context);
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
  if (wantsListing() && listingDueAt() <= Now) {
    sendRenewal(milliseconds(0), Context);
  }
  if (Phase == ownership_phase::Held && wantsLongPoll() &&
      RenewalBackoffUntil <= Now) {
    sendRenewal(Attempts.empty() ? config::IdleRenewalWait
                                 : config::RenewalWait,
                Context);
  }
}

void owned_target::onResume(boot_time Now) {
  ResumedAt = Now;
  ListingNeededSince = Now;
  ListingDueAt = std::min(ListingDueAt, Now);
  for (auto &[Number, Request] : RenewalsInFlight) {
    Request.TimeoutAt =
        std::max(Request.TimeoutAt, Now + config::ListingTimeout);
  }
  if (!Attempts.empty()) {
    LeaseExpiredBy = std::max(LeaseExpiredBy, Now + config::ResumedListingTime);
  }
}

bool owned_target::needsListing() const {
  if (Phase == ownership_phase::Acquiring || !isConfirmed() ||
      HasUnknownAttempts || ConsecutiveUnanswered > 0) {
    return true;
  }
  return std::any_of(Attempts.begin(), Attempts.end(), [](const auto &Entry) {
    return Entry.second.Phase == attempt_phase::InDoubt;
  });
}

bool owned_target::wantsListing() const { return !hasListingInFlight(); }

boot_time owned_target::listingDueAt() const {
  const boot_time Due = std::max(ListingDueAt, RenewalBackoffUntil);
  if (needsListing()) {
    return Due;
  }
  if (Attempts.empty()) {
    return std::max(Due, ClockAt + config::IdleClockReadInterval);
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
                       return Entry.second.IsListing &&
                              Entry.second.Token == Token &&
                              Entry.second.SentAt >= ListingNeededSince;
                     });
}

bool owned_target::hasLongPollInFlight() const {
  return std::any_of(RenewalsInFlight.begin(), RenewalsInFlight.end(),
                     [this](const auto &Entry) {
                       return !Entry.second.IsListing &&
                              Entry.second.LastOutcomeNumber ==
                                  LastOutcomeNumber;
                     });
}

void owned_target::sendRenewal(milliseconds Wait, ownership_context &Context) {
  renewal_request Request;
  Request.SentAt = Context.Now;
  Request.TimeoutAt = Context.Now + Wait +
                      (Wait == milliseconds(0) ? config::ListingTimeout
                                               : config::RenewalTimeoutMargin);
  Request.Token = Token;
  Request.LastOutcomeNumber = LastOutcomeNumber;
  Request.IsListing = Wait == milliseconds(0);
  const std::uint64_t Number = ++LastRenewalNumber;
  // A deadline would extend the lease of unknown attempts. Sent to an
  // unresponsive target, it would delay the time at which its attempts are
  // known to have ended.
  const bool MayExtendLease = Phase == ownership_phase::Held &&
                              !Attempts.empty() && ConsecutiveUnanswered == 0;
  Context.Effects.emplace_back(renew_target_lease{
      Record.Id, Record.Address, Token, Number, LastOutcomeNumber,
      MayExtendLease ? makeLeaseDeadline(Context) : std::nullopt, Wait,
      NewConnection});
  NewConnection = false;
  RenewalsInFlight.emplace(Number, Request);
  Context.Counters.add(counter::HoldsSent);
  if (!Request.IsListing) {
    return;
  }
  ListingDueAt = Context.Now + config::MinListingInterval;
  for (auto &[Ref, Attempt] : Attempts) {
    if (Attempt.ProbeAt <= Context.Now) {
      // List a long-running attempt at growing intervals.
      Attempt.ProbeAt =
          Context.Now + std::max<microseconds>(Context.Now - Attempt.StartedAt,
                                               config::MinListingInterval);
    }
  }
}

boot_time owned_target::expiryLimitFor(const host_ref &Coordinator,
                                       const ownership_context &Context) {
  if (!Context.Rules.BoundLeaseByCoordinatorContact || !Context.LastAliveAt) {
    return boot_time::max();
  }
  return Context.LastAliveAt(Coordinator) +
         config::LeaseAfterCoordinatorContact;
}

namespace {
/// @returns how much longer than by a target's clock a time may last
milliseconds driftOver(milliseconds Time) {
  return std::chrono::duration_cast<milliseconds>(
      config::TargetClockDriftFraction * Time);
}
} // namespace

boot_time
owned_target::leaseExpiryLimit(const ownership_context &Context) const {
  boot_time Limit = boot_time::max();
  for (const auto &[Ref, Attempt] : Attempts) {
    Limit = std::min(Limit, expiryLimitFor(Attempt.Task.Coordinator, Context));
    if (Attempt.IsStopRequested) {
      Limit = std::min(Limit, Attempt.StopLeaseLimit);
    }
  }
  return Limit;
}

boot_time owned_target::latestExpiry(boot_time LeaseEnd, boot_time Now) const {
  const milliseconds SinceRead = until(Now, ClockAt);
  return LeaseEnd + driftOver(SinceRead + until(LeaseEnd, Now)) +
         config::TargetClockMargin;
}

boot_time owned_target::leaseEnd(const ownership_context &Context) const {
  const boot_time Longest =
      Context.Now + std::min(Context.MaxLeaseTime, config::LeaseTime);
  const boot_time Limit = leaseExpiryLimit(Context);
  const boot_time ExpiredBy = latestExpiry(Longest, Context.Now);
  return ExpiredBy <= Limit ? Longest : Longest - (ExpiredBy - Limit);
}

bool owned_target::canStartFor(const host_ref &Coordinator,
                               const ownership_context &Context) const {
  const boot_time Limit =
      std::min(leaseExpiryLimit(Context), expiryLimitFor(Coordinator, Context));
  const boot_time Shortest = Context.Now + config::MinStartLease;
  return LeaseExpiredBy <= Limit &&
         latestExpiry(Shortest, Context.Now) <= Limit;
}

std::optional<milliseconds>
owned_target::makeLeaseDeadline(ownership_context &Context) {
  const boot_time LeaseEnd = leaseEnd(Context);
  if (!Clock || LeaseEnd <= Context.Now) {
    return std::nullopt;
  }
  const milliseconds SinceRead = until(Context.Now, ClockAt);
  const milliseconds Lease = until(LeaseEnd, Context.Now);
  LeaseHeldUntil = std::max(LeaseHeldUntil, LeaseEnd);
  LeaseExpiredBy =
      std::max(LeaseExpiredBy, latestExpiry(LeaseEnd, Context.Now));
  return *Clock + SinceRead + Lease;
}

void owned_target::recordClock(std::optional<milliseconds> Reading,
                               boot_time Now) {
  if (!Reading) {
    return;
  }
  // Responses may arrive out of order: keep the highest reading.
  if (Clock && *Reading < *Clock) {
    return;
  }
  Clock = Reading;
  ClockAt = Now;
}

void owned_target::recordUnanswered(boot_time SentAt,
                                    ownership_context &Context) {
  NewConnection = true;
  if (SentAt < ResumedAt) {
    return; // this host didn't wait for the response
  }
  ++ConsecutiveUnanswered;
  LastUnansweredSentAt = std::max(LastUnansweredSentAt, SentAt);
  RenewalBackoff = std::min<milliseconds>(
      std::max<milliseconds>(2 * RenewalBackoff, config::RenewalRetryDelay),
      config::MaxRenewalBackoff);
  // While attempts run there, retry soon so that the lease doesn't expire.
  const milliseconds Delay =
      Attempts.empty() ? RenewalBackoff
                       : std::min<milliseconds>(RenewalBackoff,
                                                2 * config::RenewalRetryDelay);
  RenewalBackoffUntil = Context.Now + Delay;
}

boot_time owned_target::nextDueAt(boot_time Now) const {
  boot_time Due = boot_time::max();
  for (const auto &[Number, Request] : RenewalsInFlight) {
    Due = std::min(Due, Request.TimeoutAt);
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
  if (wantsListing()) {
    Due = std::min(Due, listingDueAt());
  }
  if (Phase == ownership_phase::Held && wantsLongPoll()) {
    Due = std::min(Due, RenewalBackoffUntil);
  }
  return std::max(Due, Now);
}

} // namespace tarragonbridge::pool
