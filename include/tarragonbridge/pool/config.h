/// Every tunable of a pool host, with its unit.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace tarragonbridge::pool::config {

using std::chrono::milliseconds;

/// Of a process that isn't told how much memory it may use.
constexpr std::size_t DefaultMemoryBytes = std::size_t{120} << 20U;

// Requests of callers.
constexpr std::size_t MaxTasksPerJob = 1'000;
constexpr std::size_t MaxSpecificationBytes = 4'000;
constexpr std::size_t MaxJobIdBytes = 64;
/// Ended jobs that are remembered for resubmissions, at the most.
constexpr std::size_t MaxEndedJobs = 50'000;
constexpr std::size_t MaxBodyBytes = 256U << 10U;
constexpr std::size_t HeldBytesPerTask = 500;         ///< of an open job
constexpr std::chrono::seconds CallerIdleTimeout{60}; ///< of a connection
constexpr milliseconds DefaultTimeLimit{30'000}; ///< of a job that names none
constexpr milliseconds MaxTimeLimit{600'000};    ///< longer ones are cut to it

// Commands to targets and lease renewals.
/// Of a start or stop command. A stop is also repeated at this interval until
/// a listing shows the attempt's outcome.
constexpr milliseconds CommandTimeout{90};
/// Long-poll wait of a lease renewal while attempts run on the target.
constexpr milliseconds RenewalWait{400};
/// The same while none runs and only outcomes are to be acknowledged.
constexpr milliseconds IdleRenewalWait{2'000};
/// Added to the wait of a lease renewal to give the timeout of its response.
constexpr milliseconds RenewalTimeoutMargin{200};
/// Of a lease, if the target grants as much. A lease never shortens, and all
/// tasks of the target share it: a task whose job may be submitted again before
/// it expires has to wait.
constexpr milliseconds LeaseTime{750};
/// A lease is renewed this long before it expires.
constexpr milliseconds LeaseRenewalLead{300};
/// Of a lease renewal without wait, which lists the target's attempts at once.
constexpr milliseconds ListingTimeout{90};
constexpr milliseconds MinListingInterval{20}; ///< at one target
/// An attempt whose outcome hasn't been received after its expected run time
/// times ProbeFactor, plus ProbeMargin, is looked up in a listing. When a long
/// poll is lost, the outcome would otherwise arrive after its timeout only.
constexpr double ProbeFactor = 1.5;
constexpr milliseconds ProbeMargin{15};
/// First delay after an unanswered or refused lease renewal; doubled with each
/// further one.
constexpr milliseconds RenewalRetryDelay{60};
constexpr milliseconds MaxRenewalBackoff{1'000};
/// Consecutive unanswered requests that make a target unresponsive.
constexpr std::uint32_t UnresponsiveAfterFailures = 2;
constexpr long MaxConnectionsPerTarget = 6;
/// Starts to one target without a response: each holds memory for its request.
constexpr std::size_t MaxStartsInFlight = 64;
/// Fraction by which a target's clock may run slow, and the error of reading
/// it. Both are added to a lease before it counts as expired.
constexpr double TargetClockDriftFraction = 0.03;
/// The clock of a target without attempts is read this often, so that its drift
/// doesn't add up.
constexpr milliseconds IdleClockReadInterval{2'000};
constexpr milliseconds TargetClockMargin{60};

// Ownership of targets.
/// From the first membership snapshot to the first assignment of targets.
constexpr milliseconds MembershipSettleTime{80};
constexpr milliseconds AssignmentInterval{100};
/// A target that was lost to another host isn't taken over again before.
constexpr milliseconds OwnershipLostBackoff{3'000};
/// Without a datagram for this long, a host of the own failure domain counts as
/// failed and its targets are taken over.
constexpr milliseconds HostTimeout{900};
/// The same for a host of another failure domain, which must also have lost its
/// registration: the network between failure domains may be partitioned.
constexpr milliseconds RemoteDomainHostTimeout{2'500};
/// Targets are handed over, and tasks offered, only to hosts from which a
/// datagram was received within this time.
constexpr milliseconds HandoverPeerTimeout{400};
/// Without a datagram of their coordinator for this long, attempts are stopped
/// and queued tasks dropped: the callers submit their jobs elsewhere 1.3 s
/// after they lost it.
constexpr milliseconds CoordinatorTimeout{800};
/// The same without a proof that the coordinator was alive later than this:
/// before the lease of the target, which holds other tasks too, expires.
constexpr milliseconds CoordinatorProofTimeout{950};
/// A lease on a target with attempts has expired this long after the last proof
/// that their coordinators were alive, at the latest. So it has expired when
/// the caller submits the job again, 1.3 s after it lost its coordinator, even
/// if the owner, which would stop the attempts, fails too.
constexpr milliseconds LeaseAfterCoordinatorContact{1'280};
/// The same after an attempt's stop was requested, which may stay unanswered:
/// its caller may have left some time before.
constexpr milliseconds LeaseAfterStopRequest{1'000};
// Jobs whose callers may have left unnoticed.
/// Other hosts are told of a job that has been open for this long: soon enough
/// to know of it when its caller, having left at once, submits it again.
constexpr milliseconds ListedJobAge{200};
/// Jobs that a host lists in its state, so that the datagram isn't too large.
constexpr std::size_t MaxListedJobs = 300;
/// A job is abandoned this long after its caller was last proved not to have
/// submitted it to another host: its attempts have been stopped when the caller
/// does so, 1.3 s after it left.
constexpr milliseconds CallerProofTimeout{1'100};

/// A task isn't started if the lease would have to end sooner than this.
constexpr milliseconds MinStartLease{150};
/// A newly registered host counts as alive for this long without a datagram.
constexpr milliseconds NewMemberGracePeriod{3'000};

/// Items of targets that expired during a store outage reappear within this
/// time after it; until then missing targets are kept.
constexpr milliseconds StoreRecoveryGracePeriod{2'500};

// The platform's store.
constexpr milliseconds StoreTimeout{700}; ///< of a request that isn't a watch
constexpr milliseconds MinStoreBackoff{100};
constexpr milliseconds MaxStoreBackoff{1'000};
constexpr milliseconds TargetsWatchWait{1'500}; ///< long poll
/// Between two watches: heartbeats of targets change their items all the time.
constexpr milliseconds MinTargetsWatchInterval{400};
/// Long poll of the other watches: configuration and members.
constexpr milliseconds WatchWait{10'000};
/// Added to the wait of a watch to give its timeout.
constexpr milliseconds WatchTimeoutMargin{1'000};
/// The configuration is also polled, as a watch may miss a change.
constexpr milliseconds ConfigurationPollInterval{800};
/// The same for hosts that others of their failure domain notify of a newer
/// version: reading a large configuration often costs much processor time.
constexpr milliseconds ConfigurationSlowPollInterval{4'000};
/// Lease of the host's registration in the store.
constexpr milliseconds MemberLeaseTime{3'000};
constexpr milliseconds MemberRenewalInterval{1'000};

/// After an owner stops advertising a target, all hosts have received the new
/// owner's advertisement within this time; nobody takes it over until then.
constexpr milliseconds HandoverSettleTime{600};
/// Terms by which an owner may have raised its token since it last advertised
/// it; the next owner's term starts this far above.
constexpr std::uint64_t TermMargin = 8;

// Pauses of this process.
/// A process that handled no event for this long stood still: its timers fire
/// at least each AssignmentInterval.
constexpr milliseconds PauseThreshold{250};
/// Departures of callers during a pause are noticed within this time after it.
constexpr milliseconds CallerCheckTime{100};
/// Attempts whose leases ran out during a pause count as lost this long after
/// it: their outcomes are listed first, at the second try if need be.
constexpr milliseconds ResumedListingTime{200};
/// Live peers are heard again within this time after a pause.
constexpr milliseconds PeerCheckTime{600};
/// After a pause of this long a host reads again which jobs are open elsewhere,
/// within PeerCheckTime: peers may have taken it for failed meanwhile.
constexpr milliseconds JobListPause{600};
/// The list of targets is read again within this time after a pause: one
/// request that is repeated after a failure.
constexpr milliseconds ResumedListTime{StoreTimeout + MinStoreBackoff};
/// A withdrawn job waits this long for outcomes of its tasks that are already
/// on their way.
constexpr milliseconds WithdrawnJobTime{400};

// Evacuated failure domains.
/// After a longer pause a host starts nothing until it has read again which
/// failure domains are evacuated.
constexpr milliseconds EvacuationRecheckPause{1'000};
/// It waits at most this long: the store may be out of reach.
constexpr milliseconds EvacuationRecheckTime{600};
/// Failure domains whose evacuations a host remembers and tells with each
/// state; requests for unknown ones that it logs.
constexpr std::size_t MaxEvacuationRecords = 64;

// Tasks that crash their targets.
/// A job is given up once this many targets have crashed under one of its
/// tasks.
constexpr std::uint32_t MaxTargetCrashes = 2;
/// A crash is remembered for this long.
constexpr milliseconds CrashRetention{30'000};
/// A task under which several targets may have crashed is held for at least
/// this long before the suspicion counts as wrong.
constexpr milliseconds CrashReviewDelay{1'000};
/// Crashes that a host remembers, and tells its peers with each state.
constexpr std::size_t MaxCrashRecords = 200;

// Datagrams between hosts.
/// Datagrams that may be older are ignored: the sender may have failed since.
constexpr milliseconds MaxDatagramAge{700};
/// Cancelled tasks are remembered for longer than the oldest accepted datagram,
/// so that an offer that arrives after its cancellation is refused.
constexpr milliseconds CancellationRetention{2 * MaxDatagramAge};
/// Neighbours get a host state at least this often.
constexpr milliseconds StateInterval{200};
/// Neighbours get a changed host state at most this often: encoding and
/// decoding states is a large share of a host's processor time.
constexpr milliseconds MinStateInterval{30};
/// The same with more than MaxFullMeshHosts hosts.
constexpr milliseconds MinStateIntervalManyHosts{50};
/// Hosts that aren't neighbours get a host state this often.
constexpr milliseconds NonNeighbourStateInterval{270};
/// Up to this many hosts, this one included, all are neighbours.
constexpr std::size_t MaxFullMeshHosts = 9;
/// Neighbours on each side in the ring of the own failure domain.
constexpr std::size_t RingNeighboursPerSide = 2;
/// Retransmission timeout of a message; doubled up to the maximum.
constexpr milliseconds MinRetransmitTimeout{20};
constexpr milliseconds MaxRetransmitTimeout{320};
/// Of the name and of the failure domain of a datagram's sender.
constexpr std::size_t MaxHostNameBytes = 256;
/// Numbers of messages past those that were all received, in which others are
/// accepted before them.
constexpr std::uint64_t ReceiveWindow = 8'000;
/// Estimated size of a datagram's messages; only a single one may be larger.
constexpr std::size_t MaxDatagramBytes = 32U << 10U;
/// Of a datagram: the most that UDP over IPv4 carries.
constexpr std::size_t MaxUdpPayloadBytes = 65'507;
/// Per peer; further messages are dropped until some are acknowledged.
constexpr std::size_t MaxUnackedMessages = 4'000;

// Run times and speeds. A target of speed 1 needs the expected run time.
/// Window of the mean of a target's speed, in finished tasks.
constexpr double SpeedWindowTasks = 12;
constexpr double MinSpeed = 0.02;
constexpr double MaxSpeed = 8;
/// Weight of a client's estimate of a run time; the rest is that of its route's
/// mean. Estimates are right on average, but far off one by one.
constexpr double EstimateWeight = 0.55;
/// Actual run time of the longest task of a job with several tasks, over the
/// longest expected one.
constexpr double LongestTaskFactor = 1.15;
/// Error of the expected run time that is allowed before a job is abandoned.
constexpr double ExpiryFactor = 1.6;
/// Without a measurement for this long, a target's speed starts to decay
/// towards the mean of its kind.
constexpr milliseconds SpeedFreshness{1'000};
/// An attempt is overdue after its expected run time times this; it then lowers
/// the target's speed.
constexpr double OverdueFactor = 1.8;
constexpr milliseconds OverdueScanInterval{20};

// Admission and queues.
/// Rejections of one task by owners; then its job is abandoned.
constexpr std::uint32_t MaxOfferRejections = 4;
constexpr std::size_t MaxQueuedTasks = 4'000; ///< in the queue of an owner
/// While neither the queue nor the free capacity changes.
constexpr milliseconds QueueScanInterval{10};
/// Assumed round trips: to this host itself, to another one of the own failure
/// domain, and to one of another failure domain.
constexpr milliseconds LocalRoundTrip{1};
constexpr milliseconds DomainRoundTrip{2};
constexpr milliseconds RemoteRoundTrip{5};
/// Multiple of the latency objective after which a response has no use.
constexpr double ExpiryObjectiveFactor = 3;
/// Levels of urgency that are told apart: priorities from the last one on share
/// it.
constexpr std::size_t UrgencyLevels = 4;
/// Latest starts within a step count as equal; then less work goes first.
constexpr milliseconds UrgencyStep{10};
/// A job that must queue is refused if it would miss its objective should later
/// jobs overtake. That isn't expected while no more than this fraction of all
/// slots has owners with queued tasks.
constexpr double OvertakingSaturation = 0.67;
/// Added wait over the predicted one while all owners have queued tasks, for
/// jobs of the first priority and for all others.
constexpr double OvertakingFactorFirst = 2;
constexpr double OvertakingFactor = 8;
/// A queued task is kept if it is predicted to end within this fraction of the
/// time left to its objective, or if it was offered to be queued.
constexpr double QueueAdmissionFactor = 0.8;
/// While no target has an owner, a job waits for one up to its objective
/// divided by this.
constexpr int OwnerWaitDivisor = 2;
/// Bounds of Retry-After in the response to a refused job.
constexpr milliseconds MinRetryAfter{1'000};
constexpr milliseconds MaxRetryAfter{3'000};

// Logs.
constexpr milliseconds LoadLogInterval{1'000};
/// An event loop that wakes up this much too late, or handles events for this
/// long, is logged as stalled.
constexpr milliseconds StallLogThreshold{100};
/// A datagram is logged as late if it acknowledges a state older than this.
constexpr milliseconds LateDatagramThreshold{450};

// Shutdown.
/// New requests are still served for this long after readiness turned false.
constexpr milliseconds ReadinessGracePeriod{3'000};
/// Jobs that are still open are abandoned this long before the process is
/// killed.
constexpr milliseconds ShutdownMargin{900};

} // namespace tarragonbridge::pool::config
