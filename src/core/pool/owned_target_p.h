/// Custody of a target: the one host that starts, stops and holds there.
///
/// The target's own check of fencing tokens is the arbiter: it does nothing for
/// a token lower than the highest it has seen. A host takes a target over by a
/// higher token, lists what runs there, stops what it doesn't know, and counts
/// room only when a list has proved it. An order without an answer is in doubt:
/// the host raises its token and lets the next list decide.
#pragma once

#include "core/pool/counters_p.h"
#include "core/pool/queued_task_p.h"
#include "tarragonbridge/pool/events.h"

#include <functional>
#include <map>
#include <memory>

namespace tarragonbridge::pool {

/// What the target is known to do with an attempt.
enum class attempt_phase : std::uint8_t {
  Sent,    ///< the start's answer is awaited
  Running, ///< confirmed by an answer or a list
  InDoubt, ///< the next list decides
};

/// An attempt that runs, or may run, on a target.
struct owned_attempt {
  queued_task Task;
  attempt_phase Phase = attempt_phase::Sent;
  std::uint64_t Token = 0; ///< of its start
  boot_time StartedAt;
  boot_time ConfirmedAt;
  boot_time InDoubtSince;
  boot_time ProbeAt; ///< its end should have been heard of by then
  bool NeedsHigherAttemptNumber =
      false; ///< an earlier submission's run ended there
  bool IsStopRequested = false;
  boot_time StopDueAt;
  std::string StopReason;
};

/// An attempt that has ended, or is proved never to have run.
struct ended_attempt {
  queued_task Task;
  attempt_outcome Outcome = attempt_outcome::Done;
  milliseconds RunTime{};
  bool CanRequeue = false; ///< never ran, and may be started again as it is
  bool IsRunTimeExact =
      false; ///< RunTime is right: the end was heard of at once
};

enum class ownership_phase : std::uint8_t {
  Acquiring, ///< no list under the own token yet, or unknown attempts run
  Held,
  Lost, ///< another host has a higher token; waits for the end of the lease
};

/// What custody calls need from outside.
struct ownership_context {
  boot_time Now;
  milliseconds MaxLeaseTime{};
  std::uint64_t OwnerNumber = 0; ///< unique to this process
  ownership_rules Rules;
  counters &Counters;
  std::vector<effect> &Effects;
  /// @returns when a coordinator was heard last
  std::function<boot_time(const host_ref &)> LastReceivedAt = {};
};

class owned_target {
public:
  /// Begins to take a target over; nothing is known of it.
  ///
  /// @param[in] KnownTerm highest term that an owner told of
  owned_target(const target_record &Record, std::uint64_t OwnerNumber,
               std::uint64_t KnownTerm);

  /// Takes over from an owner that lives.
  void acceptHandover(const target_handover &Handover,
                      ownership_context &Context);
  /// @returns all that the next owner has to know
  target_handover handOver(boot_time Now) const;

  /// Takes the record that the platform lists now.
  void updateRecord(const target_record &Record, ownership_context &Context);
  /// Another host tells of a higher token.
  void yield(ownership_context &Context) { loseToOther("claimed", Context); }
  /// The platform doesn't list the target any more.
  void markRemoved() { IsRemoved = true; }

  /// @param[in] ProbeAfter when to ask for it if its end wasn't heard of
  void start(queued_task Task, milliseconds ProbeAfter,
             ownership_context &Context);
  /// Stops an attempt, until a list shows its end.
  void stop(const attempt_ref &Attempt, std::string_view Reason,
            ownership_context &Context);

  void onStartResponse(const start_response &Answer,
                       ownership_context &Context);
  void onStopResponse(const stop_response &Answer, ownership_context &Context);
  void onRenewalResponse(const renewal_response &Answer,
                         ownership_context &Context);
  /// Sends what is due: holds, repeated stops, proofs by the lease's end.
  void onTimer(ownership_context &Context);

  /// @returns the ends that were found since the last call
  std::vector<ended_attempt> extractEnded();
  /// @returns when onTimer is next due
  boot_time nextDue(boot_time Now) const;

  const target_record &record() const { return Record; }
  ownership_phase phase() const { return Phase; }
  const std::map<attempt_ref, owned_attempt> &attempts() const {
    return Attempts;
  }
  /// @returns what may still be started there; nothing while that is unproved
  resource_vector freeCapacity() const;
  /// @returns whether new attempts may be started
  bool isSchedulable() const;
  bool isUnresponsive() const;
  /// @returns whether the target has answered all calls since a time
  bool hasAnsweredSince(boot_time Time) const {
    return LastUnansweredSentAt < Time;
  }
  /// @returns whether custody has nothing left to do
  bool isFinished() const;
  std::uint64_t token() const { return Token; }
  /// @returns the part of the token that rises
  std::uint64_t term() const;
  static std::uint64_t termOf(std::uint64_t Token);
  /// @returns a bound on when the target forgets what isn't renewed
  boot_time leaseExpiredBy() const { return LeaseExpiredBy; }

private:
  struct renewal_request {
    boot_time SentAt;
    boot_time TimeoutAt;
    std::uint64_t Token = 0;
    std::uint64_t LastOutcomeNumber = 0;
    bool IsList = false; ///< answers at once
  };

  void raiseToken(ownership_context &Context);
  void markInDoubt(owned_attempt &Attempt, std::string_view Reason,
                   ownership_context &Context);
  void end(const attempt_ref &Attempt, attempt_outcome End, bool CanRequeue,
           ownership_context &Context);
  void endAll(attempt_outcome End, ownership_context &Context);
  void loseToOther(std::string_view Reason, ownership_context &Context);
  void restart(std::int64_t Incarnation, ownership_context &Context);
  void noteClock(std::optional<milliseconds> Clock, boot_time Now);
  void applyOutcomes(const renewal_response &Answer,
                     ownership_context &Context);
  void applyListing(const renewal_response &Answer, const renewal_request &Call,
                    ownership_context &Context);
  void noteUnanswered(boot_time SentAt, ownership_context &Context);
  void sendStop(owned_attempt &Attempt, ownership_context &Context);
  void sendRenewal(milliseconds Wait, ownership_context &Context);
  void forgetOldEnds(boot_time Now);
  void logAttempt(std::string Event, const attempt_ref &Attempt,
                  std::string_view Reason, ownership_context &Context) const;
  bool needsList() const;
  bool isConfirmed() const { return ConfirmedToken == Token; }
  bool wantsList() const;
  boot_time listDueAt() const;
  boot_time probeDueAt() const;
  bool wantsLongPoll() const;
  bool hasListingInFlight() const;
  bool hasLongPollInFlight() const;
  /// @returns until when the lease may last, by when coordinators were heard
  boot_time leaseBound(const ownership_context &Context) const;
  std::optional<milliseconds> deadline(ownership_context &Context);

  target_record Record;
  ownership_phase Phase = ownership_phase::Acquiring;
  std::uint64_t Token = 0;
  std::uint64_t ConfirmedToken = 0; ///< under which a list knew all that runs
  std::uint64_t TermIncrement = 1;  ///< terms to go up after a refusal
  std::map<attempt_ref, owned_attempt> Attempts;
  std::vector<ended_attempt> Ended;
  std::map<std::uint64_t, renewal_request>
      RenewalsInFlight; ///< underway, by number
  std::uint64_t LastRenewalNumber = 0;
  std::uint64_t LastOutcomeNumber = 0; ///< highest end taken note of
  std::map<attempt_ref, boot_time> ListedOutcomes; ///< lately, and when
  std::uint64_t AckedOutcomeNumber = 0; ///< that an answered hold carried
  boot_time ListDueAt;                  ///< not before
  boot_time RenewalBackoffUntil; ///< no hold before, after one unanswered
  boot_time ListNeededSince;
  milliseconds RenewalBackoff{};
  std::uint32_t ConsecutiveUnanswered = 0; ///< calls in a row
  boot_time
      LastUnansweredSentAt;   ///< the latest call without an answer was sent
  bool NewConnection = false; ///< for the next calls
  std::optional<milliseconds> Clock; ///< of the target, at ClockAt
  boot_time ClockAt;
  boot_time LeaseHeldUntil; ///< by the latest deadline sent, at the earliest
  boot_time LeaseExpiredBy; ///< the same, at the latest
  bool HasUnknown = false;  ///< the latest list has attempts that are unknown
  bool IsRemoved = false;
};

} // namespace tarragonbridge::pool
