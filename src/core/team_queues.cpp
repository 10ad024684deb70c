#include "tarragonbridge/team_queues.h"

#include <algorithm>
#include <tuple>

namespace tarragonbridge {

namespace {
bool isWithin(queue_bounds Bounds, queue_size Size, queue_size More) {
  const bool FitsTasks =
      Bounds.MaxTasks == 0 || Size.Tasks + More.Tasks <= Bounds.MaxTasks;
  const bool FitsBytes =
      Bounds.MaxBytes == 0 || Size.Bytes + More.Bytes <= Bounds.MaxBytes;
  return FitsTasks && FitsBytes;
}

/// @returns run time divided by the weight of an urgency, in a unit in which
/// the highest urgency counts milliseconds
std::int64_t weighTime(microseconds Time, std::uint32_t Urgency) {
  const std::int64_t Count =
      std::chrono::duration_cast<milliseconds>(Time).count();
  const std::uint32_t Steps = team_queues::MaxUrgency - Urgency;
  return Count * (std::int64_t{1} << Steps);
}

boot_time intervalOf(boot_time Rank) {
  return Rank - Rank.time_since_epoch() % team_queues::WorkInterval;
}
} // namespace

bool team_queues::earlier::operator()(const team *A, const team *B) const {
  return std::tie(A->VirtualTime, B->Urgency, A->Number) <
         std::tie(B->VirtualTime, A->Urgency, B->Number);
}

team_queues::team &team_queues::findOrAdd(std::string_view Name) {
  const auto Found = Teams.find(Name);
  if (Found != Teams.end()) {
    return Found->second;
  }
  team &Added = Teams.try_emplace(std::string(Name)).first->second;
  Added.Number = Teams.size();
  return Added;
}

void team_queues::configure(std::string_view Name, std::uint32_t Urgency,
                            queue_bounds Bounds) {
  team &Team = findOrAdd(Name);
  const bool IsQueued = Backlog.erase(&Team) != 0;
  Team.Urgency = std::min(Urgency, MaxUrgency);
  Team.Bounds = Bounds;
  if (IsQueued) {
    Backlog.insert(&Team);
  }
}

bool team_queues::hasRoom(std::string_view Team, queue_size More) const {
  const auto Found = Teams.find(Team);
  return Found == Teams.end() ||
         isWithin(Found->second.Bounds, Found->second.Size, More);
}

bool team_queues::hasRoom(queue_bounds Bounds, queue_size More) const {
  return isWithin(Bounds, Total, More);
}

queue_size team_queues::size(std::string_view Team) const {
  const auto Found = Teams.find(Team);
  return Found == Teams.end() ? queue_size{} : Found->second.Size;
}

microseconds team_queues::workAhead(std::string_view Name, boot_time Rank,
                                    microseconds Enough) const {
  const auto Found = Teams.find(Name);
  if (Found == Teams.end()) {
    return {};
  }
  microseconds Sum{};
  for (const auto &[Interval, Work] : Found->second.Work) {
    if (Interval >= intervalOf(Rank) || Sum >= Enough) {
      break;
    }
    Sum += Work.Work;
  }
  return std::min(Sum, Enough);
}

team_queues::entry &team_queues::addEntry(const queued_job &Job) {
  const auto [Added, IsNew] = Entries.try_emplace(std::string(Job.Key));
  entry &Entry = Added->second;
  if (!IsNew) {
    return Entry;
  }
  team &Team = findOrAdd(Job.Team);
  Entry.Team = &Team;
  Entry.Rank = {Job.Rank, NextNumber++};
  Entry.Work = Job.Work;
  Entry.Interval = Team.Work.try_emplace(intervalOf(Job.Rank)).first;
  ++Entry.Interval->second.Jobs;
  if (Team.Jobs.empty()) {
    Team.VirtualTime = std::max(Team.VirtualTime, VirtualTime);
    Backlog.insert(&Team);
  }
  Team.Jobs.emplace(Entry.Rank, &*Added);
  return Entry;
}

void team_queues::grow(entry &Entry, queue_size More) {
  Entry.Bytes += More.Bytes;
  Entry.Interval->second.Work += Entry.Work * More.Tasks;
  for (queue_size *Size : {&Entry.Team->Size, &Total}) {
    Size->Tasks += More.Tasks;
    Size->Bytes += More.Bytes;
  }
}

void team_queues::shrink(entry &Entry, queue_size Less) {
  Entry.Bytes -= Less.Bytes;
  Entry.Interval->second.Work -= Entry.Work * Less.Tasks;
  for (queue_size *Size : {&Entry.Team->Size, &Total}) {
    Size->Tasks -= Less.Tasks;
    Size->Bytes -= Less.Bytes;
  }
}

void team_queues::push(const queued_job &Job) {
  if (Job.Tasks == 0) {
    return;
  }
  entry &Entry = addEntry(Job);
  Entry.Next = 0;
  Entry.End = Job.Tasks;
  grow(Entry, {Job.Tasks, Job.Bytes});
}

void team_queues::requeue(const queued_job &Job, std::uint32_t Task) {
  entry &Entry = addEntry(Job);
  Entry.Requeued.push_back(Task);
  grow(Entry, {1, Job.Bytes});
}

void team_queues::dropEntry(entries::iterator Entry) {
  team &Team = *Entry->second.Team;
  Team.Jobs.erase(Entry->second.Rank);
  const auto Interval = Entry->second.Interval;
  if (--Interval->second.Jobs == 0) {
    Team.Work.erase(Interval);
  }
  if (Team.Jobs.empty()) {
    Backlog.erase(&Team);
  }
  Entries.erase(Entry);
}

queue_size team_queues::erase(const std::string &Key) {
  const auto Found = Entries.find(Key);
  if (Found == Entries.end()) {
    return {};
  }
  const queue_size Dropped{Found->second.tasks(), Found->second.Bytes};
  shrink(Found->second, Dropped);
  dropEntry(Found);
  return Dropped;
}

bool team_queues::isOffered(const std::string &Key) const {
  const auto Found = Entries.find(Key);
  if (Found == Entries.end()) {
    return false;
  }
  const auto &Jobs = Found->second.Team->Jobs;
  auto Job = Jobs.begin();
  for (std::size_t Passed = 0; Passed < MaxJobsScanned && Job != Jobs.end();
       ++Passed, ++Job) {
    if (Job->second == &*Found) {
      return true;
    }
  }
  return false;
}

void team_queues::charge(team &Team, std::int64_t Time) {
  const bool IsQueued = Backlog.erase(&Team) != 0;
  Team.VirtualTime += Time;
  if (IsQueued) {
    Backlog.insert(&Team);
  }
}

team_queues::backlog::iterator
team_queues::onStarted(backlog::iterator Position, entries::value_type &Job,
                       const offer_result &Result) {
  team &Team = **Position;
  entry &Entry = Job.second;
  const std::int64_t Start = Team.WasBound
                                 ? std::max(Team.VirtualTime, VirtualTime)
                                 : Team.VirtualTime;
  VirtualTime = std::max(VirtualTime, Start);
  Team.WasBound = false;
  shrink(Entry, {1, Result.Bytes});
  if (Entry.Requeued.empty()) {
    ++Entry.Next;
  } else {
    Entry.Requeued.pop_back();
  }
  const auto After = Backlog.erase(Position);
  Team.VirtualTime =
      Start + std::max<std::int64_t>(1, weighTime(Result.Cost, Team.Urgency));
  const auto Moved = Backlog.insert(After, &Team);
  const bool IsNext = std::next(Moved) == After;
  const bool IsEmpty = Entry.tasks() == 0;
  const bool TeamIsEmpty = IsEmpty && Team.Jobs.size() == 1;
  if (IsEmpty) {
    dropEntry(Entries.find(Job.first));
  }
  return IsNext && !TeamIsEmpty ? Moved : After;
}

void team_queues::settle(std::string_view Name, microseconds Charged,
                         microseconds Used) {
  const auto Found = Teams.find(Name);
  if (Found == Teams.end()) {
    return;
  }
  team &Team = Found->second;
  const std::int64_t Correction =
      weighTime(Used, Team.Urgency) - weighTime(Charged, Team.Urgency);
  // A correction gives no credit for the time before the present one.
  const std::int64_t Least =
      std::min<std::int64_t>(0, VirtualTime - Team.VirtualTime);
  charge(Team, std::max(Correction, Least));
}

} // namespace tarragonbridge
