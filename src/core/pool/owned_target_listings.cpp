// What the listing in a response to a lease renewal shows: outcomes, attempts
// that run, attempts that are missing or unknown.
#include "core/pool/owned_target_p.h"

#include "tarragonbridge/pool/config.h"

#include <set>

namespace tarragonbridge::pool {

void owned_target::applyOutcomes(const renewal_response &Response,
                                 ownership_context &Context) {
  for (const listed_outcome &Listed : Response.Outcomes) {
    if (Listed.Number <= LastOutcomeNumber) {
      continue;
    }
    LastOutcomeNumber = Listed.Number;
    ListedOutcomes[Listed.Attempt] = Context.Now;
    end(Listed.Attempt, Listed.Outcome, false, Context);
  }
}

void owned_target::applyListing(const renewal_response &Response,
                                const renewal_request &Request,
                                ownership_context &Context) {
  const std::set<attempt_ref> Running(Response.Running.begin(),
                                      Response.Running.end());
  std::vector<attempt_ref> Missing;
  for (auto &[Ref, Attempt] : Attempts) {
    if (Running.contains(Ref)) {
      Attempt.HasTargetRestarted = false;
      if (Attempt.Phase != attempt_phase::Running) {
        Attempt.Phase = attempt_phase::Running;
        Attempt.ConfirmedAt = Context.Now;
      }
      continue;
    }
    const bool WasRunning = Attempt.Phase == attempt_phase::Running &&
                            Attempt.ConfirmedAt < Request.SentAt;
    const bool NeverStarted =
        Attempt.Phase == attempt_phase::InDoubt &&
        Attempt.InDoubtSince <= Request.SentAt &&
        (Attempt.Token < Request.Token || !Context.Rules.RaiseTokenInDoubt);
    if (WasRunning || NeverStarted) {
      Missing.push_back(Ref);
    }
  }
  // A full listing may lack outcomes; the next one has them.
  constexpr std::size_t MaxListedOutcomes = 500;
  const bool AllOutcomesListed = Response.Outcomes.size() < MaxListedOutcomes;
  for (const attempt_ref &Ref : Missing) {
    if (AllOutcomesListed) {
      endMissing(Ref, Context);
    }
  }
  evictOldOutcomes(Context.Now);
  HasUnknownAttempts = false;
  for (const attempt_ref &Ref : Response.Running) {
    const auto ListedOutcome = ListedOutcomes.find(Ref);
    const bool HasEnded = ListedOutcome != ListedOutcomes.end() &&
                          ListedOutcome->second >= Request.SentAt;
    if (Attempts.contains(Ref) || HasEnded ||
        !Context.Rules.StopUnknownAttempts) {
      continue;
    }
    HasUnknownAttempts = true;
    Context.Counters.add(counter::UnknownStopped);
    logAttempt("attempt_unknown", Ref, "in_list", Context);
    Context.Effects.emplace_back(
        stop_attempt{Record.Id, Record.Address, Ref, Token});
  }
  if (HasUnknownAttempts) {
    // Another host started them, under a token that happens to be lower. Only a
    // listing without them confirms free capacity again.
    Phase = ownership_phase::Acquiring;
    ListingDueAt = Context.Now + config::RenewalRetryDelay;
  }
  if (Request.Token == Token && !HasUnknownAttempts) {
    ConfirmedToken = Token;
    if (Phase == ownership_phase::Acquiring) {
      Phase = ownership_phase::Held;
      // Until this listing, an earlier owner may have extended the lease.
      LeaseExpiredBy =
          latestExpiry(Context.Now + Context.MaxLeaseTime, Context.Now);
      TermIncrement = 1;
    }
  }
}

void owned_target::endMissing(const attempt_ref &Ref,
                              ownership_context &Context) {
  const owned_attempt &Attempt = Attempts.at(Ref);
  if (Attempt.HasTargetRestarted) {
    logAttempt("attempt_lost", Ref, "target_restarted", Context);
    end(Ref, attempt_outcome::Crashed, false, Context);
    return;
  }
  const bool NeverRan = Attempt.Phase == attempt_phase::InDoubt;
  logAttempt(NeverRan ? "attempt_not_started" : "attempt_lost", Ref,
             "not_in_list", Context);
  end(Ref, NeverRan ? attempt_outcome::NotStarted : attempt_outcome::Lost,
      NeverRan && !Attempt.NeedsHigherAttemptNumber, Context);
}

void owned_target::evictOldOutcomes(boot_time Now) {
  constexpr milliseconds Retention{3'000}; // longer than the longest renewal
  std::erase_if(ListedOutcomes, [&](const auto &Entry) {
    return Entry.second + Retention < Now;
  });
}

} // namespace tarragonbridge::pool
