/// Resubmissions of jobs that are still open at another host.
///
/// A caller that lost its connection submits its job again, to any host, no
/// sooner than config::ResubmissionDelay later. The host that it left may not
/// have noticed: it was paused, or the network lost the end of the connection.
/// So each host tells the others which of its jobs have been open for a while.
/// A host that gets one of these places it only when the former host has
/// withdrawn it and its attempts have ended.
///
/// A job that not all other hosts are proved to know is abandoned before its
/// caller can have submitted it again.
#pragma once

#include "core/pool/state_p.h"

namespace tarragonbridge::pool {

/// @returns the digest by which hosts tell each other of a job. Ids may hold
/// any bytes.
std::uint64_t digestOf(const std::string &Id);

/// @returns the digests of the jobs that the other hosts have to know, sorted:
/// open ones, and ended ones with attempts that may still run
/// @param[in] StateNumber of the host state that lists them
std::vector<std::uint64_t> listOpenJobs(pool_state &State, boot_time Now,
                                        std::uint64_t StateNumber);

/// Keeps the offered tasks of a job that ends now until their attempts have
/// ended.
void keepEndingAttempts(reducer_context &Ctx, const open_job &Job);
/// Records that an attempt at a task of a job that has ended doesn't run any
/// more.
void noteEndedAttempt(reducer_context &Ctx, const attempt_ref &Attempt);
/// Drops the jobs whose attempts have ended at the latest by now.
void expireEndingJobs(reducer_context &Ctx);

/// @returns whether a new job may be placed: attempts of an earlier submission
/// can't run any more. Asks the hosts where it is open to withdraw it.
bool isReleased(reducer_context &Ctx, open_job &Job);
/// Places the jobs that had to wait for other hosts.
void placeReleasedJobs(reducer_context &Ctx);
/// Withdraws jobs whose callers have submitted them to another host.
void handleResubmissions(reducer_context &Ctx, const host_ref &From,
                         const jobs_resubmitted &Resubmitted);

/// @returns whether the caller of an open job may have been able to submit it
/// again at a host that doesn't know of it
bool isCallerUnproved(const pool_state &State, const open_job &Job,
                      boot_time Now);

} // namespace tarragonbridge::pool
