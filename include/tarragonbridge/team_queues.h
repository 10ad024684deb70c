/// Queues of tasks by team: bounded, ordered by urgency and fair.
///
/// Teams are served in the order of their virtual time. Starting a task adds
/// its expected run time, divided by the team's weight, to the virtual time of
/// the team. The weight doubles with each step of urgency, so under overload a
/// team gets twice the service of one a step below, and none gets nothing.
/// Equal virtual times go by urgency. A team that comes back from idleness
/// starts at the present virtual time: it goes ahead of backlogs and brings no
/// credit; so does one that was held up by its own limits. Within a team, jobs
/// go by rank.
#pragma once

#include "tarragonbridge/time.h"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace tarragonbridge {

/// Bounds of queued work; zero means no bound.
struct queue_bounds {
  std::uint64_t MaxTasks = 0;
  std::uint64_t MaxBytes = 0;
};

/// Queued work.
struct queue_size {
  std::uint64_t Tasks = 0;
  std::uint64_t Bytes = 0;
};

/// A job whose tasks 0 to Tasks - 1 are to be queued.
struct queued_job {
  std::string_view Key;
  std::string_view Team;
  boot_time Rank; ///< order within the team, earlier first
  std::uint32_t Tasks = 0;
  std::uint64_t Bytes = 0; ///< of all its tasks
  microseconds Work{};     ///< run time of one task, for workAhead()
};

/// What became of an offer to start a queued task.
enum class offer_outcome : std::uint8_t {
  Started,   ///< the task leaves the queue
  NoTarget,  ///< this task has to wait, another job's may fit
  TeamBound, ///< the team may not start anything now
  Stop,      ///< nothing more can start in this pass
};

struct offer_result {
  offer_outcome Outcome = offer_outcome::NoTarget;
  microseconds Cost{};     ///< expected run time, Started only
  std::uint64_t Bytes = 0; ///< bytes that leave the queue, Started only
};

/// Called with the key of a job and the index of its task.
template <class F>
concept task_offer = requires(F Offer, const std::string &Key,
                              std::uint32_t Task) {
  { Offer(Key, Task) } -> std::same_as<offer_result>;
};

/// Queues of all teams.
class team_queues {
public:
  /// Jobs of one team that are offered in one pass before the next team.
  static constexpr std::size_t MaxJobsScanned = 8;
  static constexpr std::uint32_t MaxUrgency = 9;
  static constexpr milliseconds WorkInterval{100};

  team_queues() = default;
  team_queues(const team_queues &) = delete;
  team_queues &operator=(const team_queues &) = delete;

  /// Sets the urgency of a team, 0 to 9, and the bounds of its queue.
  void configure(std::string_view Team, std::uint32_t Urgency,
                 queue_bounds Bounds);

  /// @returns whether the team's queue takes this much more
  bool hasRoom(std::string_view Team, queue_size More) const;

  /// @returns whether all queues together take this much more
  bool hasRoom(queue_bounds Bounds, queue_size More) const;

  /// Queues all tasks of a job that has none queued.
  void push(const queued_job &Job);

  /// Queues a task again, ahead of the rest of its job.
  ///
  /// @param[in] Job its job; Tasks is not read, Bytes are those of the task
  /// @remarks Not refused for want of room: the task was admitted before.
  void requeue(const queued_job &Job, std::uint32_t Task);

  /// Drops all queued tasks of a job.
  ///
  /// @returns what was dropped
  /// @remarks O(log of the team's queued jobs), however many tasks there are.
  queue_size erase(const std::string &Key);

  /// @returns whether the job is among those that a pass offers, so that
  /// erasing it lets another one be offered
  bool isOffered(const std::string &Key) const;

  /// Offers queued tasks in order until none can start.
  template <task_offer F> void serve(F &&Offer);

  /// Corrects the service of a team after a task has ended.
  ///
  /// @param[in] Charged cost given when it started
  /// @param[in] Used run time that it took
  void settle(std::string_view Team, microseconds Charged, microseconds Used);

  /// @returns run time of the team's queued tasks that go before a rank
  ///
  /// @param[in] Enough the sum is cut off here
  /// @remarks Ranks are told apart by WorkInterval; those of the same interval
  /// are not counted. Takes a step for each interval up to the rank.
  microseconds workAhead(std::string_view Team, boot_time Rank,
                         microseconds Enough) const;

  /// @returns queued work of all teams
  queue_size size() const { return Total; }
  /// @returns queued work of one team
  queue_size size(std::string_view Team) const;

private:
  /// Rank and, among equal ones, order of arrival.
  using rank = std::pair<boot_time, std::uint64_t>;
  /// Jobs whose ranks fall into one interval.
  struct interval_work {
    std::size_t Jobs = 0;
    microseconds Work{}; ///< run time of their queued tasks
  };
  using work_by_rank = std::map<boot_time, interval_work>;
  struct team;
  struct entry {
    team *Team = nullptr;
    rank Rank;
    std::uint32_t Next = 0; ///< tasks from Next to End - 1 wait
    std::uint32_t End = 0;
    std::vector<std::uint32_t> Requeued; ///< these wait too, and go first
    std::uint64_t Bytes = 0;
    microseconds Work{}; ///< of one task
    work_by_rank::iterator Interval;

    std::uint64_t tasks() const { return End - Next + Requeued.size(); }
    std::uint32_t front() const {
      return Requeued.empty() ? Next : Requeued.back();
    }
  };
  using entries = std::unordered_map<std::string, entry>;
  struct team {
    std::size_t Number = 0; ///< order of first use
    std::uint32_t Urgency = 0;
    queue_bounds Bounds;
    queue_size Size;
    std::int64_t VirtualTime = 0;
    bool WasBound = false; ///< could not start anything when last offered
    std::map<rank, entries::value_type *> Jobs;
    work_by_rank Work;
  };
  struct earlier {
    bool operator()(const team *A, const team *B) const;
  };
  using backlog = std::set<team *, earlier>;

  team &findOrAdd(std::string_view Name);
  entry &addEntry(const queued_job &Job);
  void grow(entry &Entry, queue_size More);
  void shrink(entry &Entry, queue_size Less); // before dropEntry
  void dropEntry(entries::iterator Entry);
  void charge(team &Team, std::int64_t Time);
  template <task_offer F>
  entries::value_type *offerJobs(team &Team, F &Offer, offer_result &Result);
  backlog::iterator onStarted(backlog::iterator Position,
                              entries::value_type &Job,
                              const offer_result &Result);

  entries Entries;
  std::map<std::string, team, std::less<>> Teams;
  backlog Backlog; ///< teams with queued tasks, next to be served first
  std::int64_t VirtualTime = 0; ///< of the team served last
  std::uint64_t NextNumber = 0;
  queue_size Total;
};

/// Offers the first jobs of a team.
///
/// @returns the job of which a task started, or nullptr
template <task_offer F>
team_queues::entries::value_type *team_queues::offerJobs(team &Team, F &Offer,
                                                         offer_result &Result) {
  std::size_t Scanned = 0;
  for (const auto &[Rank, Job] : Team.Jobs) {
    Result = Offer(Job->first, Job->second.front());
    if (Result.Outcome == offer_outcome::Started) {
      return Job;
    }
    Team.WasBound = Result.Outcome == offer_outcome::TeamBound;
    if (Result.Outcome != offer_outcome::NoTarget ||
        ++Scanned == MaxJobsScanned) {
      return nullptr;
    }
  }
  return nullptr;
}

template <task_offer F> void team_queues::serve(F &&Offer) {
  // Starting a task only moves its team back, so one pass forward sees all.
  auto Position = Backlog.begin();
  while (Position != Backlog.end()) {
    offer_result Result;
    entries::value_type *Job = offerJobs(**Position, Offer, Result);
    if (Result.Outcome == offer_outcome::Stop) {
      return;
    }
    Position = Job == nullptr ? std::next(Position)
                              : onStarted(Position, *Job, Result);
  }
}

} // namespace tarragonbridge
