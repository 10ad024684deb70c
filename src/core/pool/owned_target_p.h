/// A target that this host owns: its lease, fencing token and attempts.
/// Only the owner starts and stops attempts on a target and renews its lease.
/// The target enforces this by fencing tokens: it does nothing for a token
/// lower than the highest that it has seen. A host takes a target over with a
/// higher token, lists the running attempts, stops those that it doesn't know,
/// and offers free capacity only once a listing has confirmed it. A command
/// without a response is in doubt: the host raises its token, and the next
/// listing shows the outcome.
#pragma once

#include "core/pool/counters_p.h"
#include "core/pool/queued_task_p.h"
#include "tarragonbridge/pool/events.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

namespace tarragonbridge::pool {

/// What the owner knows of an attempt on the target.
enum class attempt_phase : std::uint8_t {
  Sent,    ///< waits for the response to the start
  Running, ///< confirmed by a response or a listing
  InDoubt, ///< outcome unknown until the next listing
};

/// An attempt that runs, or may run, on a target.
struct owned_attempt {
  queued_task Task;
  attempt_phase Phase = attempt_phase::Sent;
  std::uint64_t Token = 0; ///< of its start
  boot_time StartedAt;
  boot_time ConfirmedAt;
  boot_time InDoubtSince;
  boot_time ProbeAt; ///< listed then if its outcome has not been received
  /// The target finished an attempt of an earlier submission with a number as
  /// high.
  bool NeedsHigherAttemptNumber = false;
  /// It ran, or may have run, in an earlier incarnation of the target.
  bool HasTargetRestarted = false;
  bool IsStopRequested = false;
  boot_time StopLeaseLimit; ///< its lease must have expired by then if so
  boot_time StopDueAt;
  std::string StopReason;
};

/// An attempt that has ended, or is confirmed never to have run.
struct ended_attempt {
  queued_task Task;
  attempt_outcome Outcome = attempt_outcome::Done;
  milliseconds RunTime{};
  bool CanRequeue = false; ///< never ran, and may be queued again unchanged
  /// RunTime is exact: the outcome was received at once.
  bool IsRunTimeExact = false;
  std::int64_t Incarnation = 0; ///< of the target
};

enum class ownership_phase : std::uint8_t {
  /// No listing under the current token yet, or unknown attempts run.
  Acquiring,
  Held,
  /// Another host has a higher token; waits for the lease to expire.
  Lost,
};

/// What the functions of an owned target share while one event is handled.
struct ownership_context {
  boot_time Now;
  milliseconds MaxLeaseTime{};
  std::uint64_t OwnerNumber = 0; ///< unique to this process
  ownership_rules Rules;
  counters &Counters;
  std::vector<effect> &Effects;
  /// @returns the latest time at which a coordinator is proved to have been
  /// alive
  std::function<boot_time(const host_ref &)> LastAliveAt = {};
};

class owned_target {
public:
  /// Starts to take over a target of which nothing is known.
  ///
  /// @param[in] KnownTerm highest term known to have been used, 0 if none
  owned_target(const target_record &Record, std::uint64_t OwnerNumber,
               std::uint64_t KnownTerm);

  /// Takes over from a live owner.
  void acceptHandover(const target_handover &Handover,
                      ownership_context &Context);
  /// @returns the attempts of a coordinator that were handed over to this host.
  /// Others, which the coordinator offered to it, may still be queued again and
  /// start on another target, whose token says nothing of this one's.
  std::vector<attempt_ref> reassignedOf(const host_ref &Coordinator) const;
  /// @returns the state that the next owner needs
  target_handover handOver(boot_time Now) const;

  /// Applies the platform's current record of the target.
  void updateRecord(const target_record &Record, ownership_context &Context);
  /// Yields the target to a host that advertises a higher token.
  void yield(ownership_context &Context) { loseToOther("claimed", Context); }
  /// Marks the target as no longer listed by the platform.
  void markRemoved() { IsRemoved = true; }

  /// @param[in] ProbeAfter time until it is listed if its outcome has not been
  /// received
  void start(queued_task Task, milliseconds ProbeAfter,
             ownership_context &Context);
  /// @returns whether a task of a coordinator may be started: whether the lease
  /// of the target expires before the coordinator's jobs can be submitted
  /// again, and is long enough
  bool canStartFor(const host_ref &Coordinator,
                   const ownership_context &Context) const;
  /// Stops an attempt, and repeats the command until its outcome is known.
  void stop(const attempt_ref &Attempt, std::string_view Reason,
            ownership_context &Context);

  void onStartResponse(const start_response &Response,
                       ownership_context &Context);
  void onStopResponse(const stop_response &Response,
                      ownership_context &Context);
  void onRenewalResponse(const renewal_response &Response,
                         ownership_context &Context);
  /// Lists the attempts again before any of them counts as lost: this host was
  /// paused, and outcomes may be on their way.
  void onResume(boot_time Now);
  /// Sends the lease renewals and repeated stops that are due, handles
  /// timeouts, and ends all attempts once the lease has expired.
  void onTimer(ownership_context &Context);

  /// @returns the attempts that have ended since the last call, and removes
  /// them
  std::vector<ended_attempt> extractEnded();
  /// @returns when onTimer is next due
  boot_time nextDueAt(boot_time Now) const;

  const target_record &record() const { return Record; }
  ownership_phase phase() const { return Phase; }
  const std::map<attempt_ref, owned_attempt> &attempts() const {
    return Attempts;
  }
  /// @returns the capacity left for new attempts; none while unconfirmed
  resource_vector freeCapacity() const;
  /// @returns whether new attempts may be started
  bool isSchedulable() const;
  bool isUnresponsive() const;
  /// @returns whether the target has responded to all requests since a time,
  /// and the host has read the responses at once
  bool hasRespondedSince(boot_time Time) const {
    return std::max(LastUnansweredSentAt, ResumedAt) < Time;
  }
  /// @returns whether nothing is left to do, so that this can be dropped
  bool isFinished() const;
  /// @returns whether it may be handed over: it is held, and all outcomes have
  /// been extracted
  bool canHandOver() const;
  std::uint64_t token() const { return Token; }
  /// @returns the rising part of the token
  std::uint64_t term() const;
  static std::uint64_t termOf(std::uint64_t Token);
  /// @returns when the lease on the target has expired at the latest
  boot_time leaseExpiredBy() const { return LeaseExpiredBy; }

private:
  struct renewal_request {
    boot_time SentAt;
    boot_time TimeoutAt;
    std::uint64_t Token = 0;
    std::uint64_t LastOutcomeNumber = 0;
    bool IsListing = false; ///< no long poll: the target responds at once
  };

  void raiseToken(ownership_context &Context);
  void markInDoubt(owned_attempt &Attempt, std::string_view Reason,
                   ownership_context &Context);
  void end(const attempt_ref &Attempt, attempt_outcome AttemptOutcome,
           bool CanRequeue, ownership_context &Context);
  /// Ends all attempts once the lease has expired.
  void endAllAttempts(ownership_context &Context);
  /// Ends an attempt that a listing should have and doesn't.
  void endMissing(const attempt_ref &Ref, ownership_context &Context);
  void loseToOther(std::string_view Reason, ownership_context &Context);
  void handleRestart(std::int64_t Incarnation, ownership_context &Context);
  void recordClock(std::optional<milliseconds> Clock, boot_time Now);
  void applyOutcomes(const renewal_response &Response,
                     ownership_context &Context);
  void applyListing(const renewal_response &Response,
                    const renewal_request &Request, ownership_context &Context);
  void recordUnanswered(boot_time SentAt, ownership_context &Context);
  void sendStop(owned_attempt &Attempt, ownership_context &Context);
  void sendRenewal(milliseconds Wait, ownership_context &Context);
  void evictOldOutcomes(boot_time Now);
  /// @returns whether a record was written before the current one, or by an
  /// earlier incarnation than the latest listing shows
  bool isOutdated(const target_record &Listed) const;
  void logAttempt(std::string Event, const attempt_ref &Attempt,
                  std::string_view Reason, ownership_context &Context) const;
  bool needsListing() const;
  bool isConfirmed() const { return ConfirmedToken == Token; }
  /// @returns whether the record is of the current incarnation: another one may
  /// have had another capacity
  bool isCapacityKnown() const {
    return RecordedIncarnation == Record.Incarnation;
  }
  bool wantsListing() const;
  boot_time listingDueAt() const;
  boot_time probeDueAt() const;
  bool wantsLongPoll() const;
  bool hasListingInFlight() const;
  bool hasLongPollInFlight() const;
  /// @returns by when a lease on an attempt must have expired, so that it
  /// doesn't run beside a resubmission of its job
  static boot_time expiryLimitFor(const host_ref &Coordinator,
                                  const ownership_context &Context);
  /// @returns by when the lease must have expired at the latest, given when the
  /// coordinators of its attempts are proved to have been alive
  boot_time leaseExpiryLimit(const ownership_context &Context) const;
  /// @returns the end of a lease that is granted now
  boot_time leaseEnd(const ownership_context &Context) const;
  /// @returns when a lease with a given end has expired at the latest
  boot_time latestExpiry(boot_time LeaseEnd, boot_time Now) const;
  std::optional<milliseconds> makeLeaseDeadline(ownership_context &Context);

  target_record Record;
  /// Of the latest record; listings may show a later one.
  std::int64_t RecordedIncarnation = 0;
  ownership_phase Phase = ownership_phase::Acquiring;
  std::uint64_t Token = 0;
  /// Token whose listing had no unknown attempt.
  std::uint64_t ConfirmedToken = 0;
  /// Raise of the term after a fenced renewal, doubled each time.
  std::uint64_t TermIncrement = 1;
  std::map<attempt_ref, owned_attempt> Attempts;
  std::vector<ended_attempt> Ended;
  /// By number.
  std::map<std::uint64_t, renewal_request> RenewalsInFlight;
  std::uint64_t LastRenewalNumber = 0;
  std::uint64_t LastOutcomeNumber = 0; ///< highest that was applied
  /// Recent ones, and when they were received.
  std::map<attempt_ref, boot_time> ListedOutcomes;
  /// Highest that a successful renewal acked.
  std::uint64_t AckedOutcomeNumber = 0;
  boot_time ListingDueAt;        ///< no listing before
  boot_time RenewalBackoffUntil; ///< no renewal before, after an unanswered one
  boot_time ListingNeededSince;
  milliseconds RenewalBackoff{};
  std::uint32_t ConsecutiveUnanswered = 0; ///< requests in a row
  /// When the latest request without a response was sent.
  boot_time LastUnansweredSentAt;
  boot_time ResumedAt;        ///< the end of the latest pause of this host
  bool NewConnection = false; ///< for the next request
  std::optional<milliseconds> Clock; ///< of the target, read at ClockAt
  boot_time ClockAt;
  boot_time LeaseHeldUntil; ///< earliest expiry, by the latest deadline sent
  boot_time LeaseExpiredBy; ///< latest expiry, given the target's clock drift
  bool HasUnknownAttempts = false; ///< the latest listing has unknown attempts
  bool IsRemoved = false;
};

} // namespace tarragonbridge::pool
