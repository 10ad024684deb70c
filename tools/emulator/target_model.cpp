#include "emulator/target_model.h"

#include <algorithm>
#include <cmath>

namespace tarragonbridge::emulator {

namespace {
constexpr std::size_t MaxListedEnds = 500;

auto taskOf(const attempt_ref &Attempt) {
  return std::make_tuple(Attempt.Job, Attempt.Step, Attempt.Task);
}
} // namespace

target_model::target_model(target_model_init Given, boot_time StartedAt,
                           std::int64_t Incarnation, recorder Record)
    : Init(std::move(Given)), StartedAt(StartedAt), Incarnation(Incarnation),
      Record(std::move(Record)), AdvancedTo(StartedAt) {}

milliseconds target_model::clock(boot_time Now) const {
  return std::chrono::duration_cast<milliseconds>((Now - StartedAt) *
                                                  Init.ClockRate);
}

pool::target_record target_model::record(const std::string &Address) const {
  pool::target_record Listed;
  Listed.Id = Init.Id;
  Listed.Service = Init.Service;
  Listed.Address = Address;
  Listed.FailureDomain = Init.FailureDomain;
  Listed.Kind = Init.Kind;
  Listed.Capacity = Init.Capacity;
  Listed.Incarnation = Incarnation;
  return Listed;
}

double target_model::rate() const {
  return Slowness > 0 ? Init.Speed / Slowness : 0;
}

void target_model::prolong(milliseconds Wanted, boot_time Now) {
  Deadline =
      std::max(Deadline, std::min(Wanted, clock(Now) + Init.LongestLease));
}

command_outcome target_model::start(const attempt_ref &Attempt,
                                    std::uint64_t Given, milliseconds Until,
                                    const task_profile &Profile,
                                    boot_time Now) {
  advance(Now);
  if (Given < Token) {
    return command_outcome::Fenced;
  }
  Token = Given;
  if (Until <= clock(Now)) {
    return command_outcome::TooLate;
  }
  prolong(Until, Now);
  const auto There =
      std::find_if(Running.begin(), Running.end(),
                   [&](const run &Run) { return Run.Attempt == Attempt; });
  if (There != Running.end()) {
    return command_outcome::Accepted;
  }
  const auto Ended = HighestEnded.find(taskOf(Attempt));
  if (Ended != HighestEnded.end() && Attempt.AttemptNumber <= Ended->second) {
    return command_outcome::OldRun;
  }
  Running.push_back(
      {Attempt, Profile, static_cast<double>(Profile.Work.count()),
       Profile.CrashesAfter ? Now + *Profile.CrashesAfter : boot_time::max()});
  Record({target_event::kind::Started, Now, Init.Id, Attempt});
  if (IsFailing || Profile.Fails) {
    finish(Running.size() - 1, attempt_outcome::Failed, Now);
  } else if (Running.back().CrashAt <= Now) {
    goDown(Running.size() - 1, Now);
    return command_outcome::NoAnswer;
  }
  return command_outcome::Accepted;
}

command_outcome target_model::stop(const attempt_ref &Attempt,
                                   std::uint64_t Given, boot_time Now) {
  advance(Now);
  if (Given < Token) {
    return command_outcome::Fenced;
  }
  Token = Given;
  for (std::size_t Index = 0; Index < Running.size(); ++Index) {
    if (Running[Index].Attempt == Attempt) {
      finish(Index, attempt_outcome::Stopped, Now);
      return command_outcome::Accepted;
    }
  }
  std::uint32_t &Highest = HighestEnded[taskOf(Attempt)];
  Highest = std::max(Highest, Attempt.AttemptNumber);
  return command_outcome::Accepted;
}

command_outcome target_model::hold(std::uint64_t Given, std::uint64_t LastEnd,
                                   std::optional<milliseconds> Until,
                                   pool::renewal_response &Answer,
                                   boot_time Now) {
  advance(Now);
  if (Given < Token) {
    return command_outcome::Fenced;
  }
  Token = Given;
  if (Until) {
    prolong(*Until, Now);
  }
  std::erase_if(Ended, [&](const pool::listed_outcome &End) {
    return End.Number <= LastEnd;
  });
  for (const run &Run : Running) {
    Answer.Running.push_back(Run.Attempt);
  }
  Answer.Outcomes.assign(Ended.begin(),
                         Ended.begin() + static_cast<std::ptrdiff_t>(std::min(
                                             Ended.size(), MaxListedEnds)));
  Answer.Incarnation = Incarnation;
  return command_outcome::Accepted;
}

boot_time target_model::leaseEnd() const {
  const auto Passed = std::chrono::duration_cast<microseconds>(
      std::chrono::duration<double, std::milli>(
          static_cast<double>(Deadline.count()) / Init.ClockRate));
  return StartedAt + Passed;
}

boot_time target_model::nextEnd() const {
  if (Running.empty()) {
    return boot_time::max();
  }
  boot_time Next = leaseEnd();
  for (const run &Run : Running) {
    Next = std::min(Next, Run.CrashAt);
    if (rate() > 0) {
      Next = std::min(Next, AdvancedTo +
                                std::chrono::duration_cast<microseconds>(
                                    std::chrono::duration<double, std::milli>(
                                        Run.LeftMs / rate())));
    }
  }
  return Next;
}

void target_model::advance(boot_time Now) {
  while (!Running.empty() && AdvancedTo < Now) {
    const boot_time Until = std::min(Now, std::max(nextEnd(), AdvancedTo));
    const double PassedMs =
        std::chrono::duration<double, std::milli>(Until - AdvancedTo).count();
    AdvancedTo = Until;
    for (run &Run : Running) {
      Run.LeftMs -= PassedMs * rate();
    }
    constexpr double NothingLeftMs = 0.002; // rounding of microseconds
    for (std::size_t Index = Running.size(); Index-- > 0;) {
      if (Running[Index].LeftMs <= NothingLeftMs) {
        finish(Index, attempt_outcome::Done, Until);
      }
    }
    for (std::size_t Index = 0; Index < Running.size(); ++Index) {
      if (Running[Index].CrashAt <= Until) {
        goDown(Index, Until);
        break;
      }
    }
    if (Until >= leaseEnd()) {
      while (!Running.empty()) {
        finish(0, attempt_outcome::Lost, Until);
      }
    }
  }
  AdvancedTo = std::max(AdvancedTo, Now);
}

void target_model::finish(std::size_t Index, attempt_outcome End,
                          boot_time Now) {
  const attempt_ref Attempt = Running[Index].Attempt;
  Running.erase(Running.begin() + static_cast<std::ptrdiff_t>(Index));
  std::uint32_t &Highest = HighestEnded[taskOf(Attempt)];
  Highest = std::max(Highest, Attempt.AttemptNumber);
  Ended.push_back({++LastNumber, Attempt, End});
  Record({target_event::kind::Ended, Now, Init.Id, Attempt, End});
}

void target_model::goDown(std::size_t Index, boot_time Now) {
  Record({target_event::kind::Crashed, Now, Init.Id, Running[Index].Attempt});
  while (!Running.empty()) {
    finish(0, attempt_outcome::Lost, Now);
  }
  IsDown = true;
}

void target_model::crash(boot_time Now, std::int64_t NewIncarnation) {
  advance(Now);
  while (!Running.empty()) {
    finish(0, attempt_outcome::Lost, Now);
  }
  IsDown = false;
  Ended.clear();
  HighestEnded.clear();
  LastNumber = 0;
  Token = 0;
  Deadline = milliseconds(0);
  StartedAt = Now;
  AdvancedTo = Now;
  Incarnation = NewIncarnation;
}

void target_model::setSlowness(double Factor, boot_time Now) {
  advance(Now);
  Slowness = Factor;
}

} // namespace tarragonbridge::emulator
