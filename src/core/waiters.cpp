#include "core/waiters_p.h"

#include "core/answers_p.h"

#include <algorithm>

namespace tarragonbridge {

namespace {
/// Waits end at whole multiples of this, so that a job has few timers.
using wait_step = std::chrono::duration<std::int64_t, std::deci>;

boot_time roundUp(boot_time Time) {
  return boot_time(std::chrono::ceil<wait_step>(Time.time_since_epoch()));
}

void setWaitTimer(dispatcher_state &State, job_record &Job, boot_time Until) {
  if (Until < Job.WaitTimerAt) {
    Job.WaitTimerAt = Until;
    setTimer(State, Until, timer_kind::Wait, Job.Key);
  }
}

/// Answers one request, if it still waits.
void answerWaiter(dispatcher_state &State, const waiting_request &Waiting,
                  effects &Effects) {
  const auto Found = State.Jobs.find(Waiting.Key);
  if (Found == State.Jobs.end()) {
    return;
  }
  job_record &Job = Found->second;
  const std::size_t Erased =
      std::erase_if(Job.Waiters, [&](const waiter &Waiter) {
        return Waiter.Request == Waiting.Request;
      });
  if (Erased > 0) {
    Effects.emplace_back(answerJob(Job, Waiting.Request));
  }
}
} // namespace

void addWaiter(dispatcher_state &State, job_record &Job, waiter Waiter,
               effects &Effects) {
  State.Waiting.push_back({Job.Key, Waiter.Request});
  if (State.Waiting.size() > State.Init.Limits.MaxWaiters) {
    answerWaiter(State, State.Waiting.front(), Effects);
    State.Waiting.pop_front();
  }
  if (Waiter.Until != boot_time::max()) {
    Waiter.Until = roundUp(Waiter.Until);
    setWaitTimer(State, Job, Waiter.Until);
  }
  Job.Waiters.push_back(Waiter);
}

void answerWaiters(job_record &Job, effects &Effects) {
  for (const waiter &Waiter : Job.Waiters) {
    Effects.emplace_back(answerJob(Job, Waiter.Request));
  }
  Job.Waiters.clear();
}

void onWaitOver(dispatcher_state &State, const std::string &Key, instant Now,
                effects &Effects) {
  const auto Found = State.Jobs.find(Key);
  if (Found == State.Jobs.end()) {
    return;
  }
  job_record &Job = Found->second;
  const auto IsOver = [&](const waiter &Waiter) {
    return Waiter.Until <= Now.Boot;
  };
  for (const waiter &Waiter : Job.Waiters) {
    if (IsOver(Waiter)) {
      Effects.emplace_back(answerJob(Job, Waiter.Request));
    }
  }
  std::erase_if(Job.Waiters, IsOver);
  if (Now.Boot < Job.WaitTimerAt) {
    return; // an earlier timer, of a wait that was answered
  }
  Job.WaitTimerAt = boot_time::max();
  boot_time Next = boot_time::max();
  for (const waiter &Waiter : Job.Waiters) {
    Next = std::min(Next, Waiter.Until);
  }
  setWaitTimer(State, Job, Next);
}

} // namespace tarragonbridge
