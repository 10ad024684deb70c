#include "core/placement_p.h"

#include "core/placement_baselines_p.h"

#include <algorithm>
#include <cmath>

namespace tarragonbridge {

namespace {
using milliseconds_f = std::chrono::duration<double, std::milli>;

/// Members of a group tried before the next one, when resources are short.
constexpr std::size_t MaxTriedPerGroup = 8;

target_record *firstFitting(const group_members &Members,
                            const placement_request &Request) {
  std::size_t Tried = 0;
  for (const auto &[Load, Order, Target] : Members.WithRoom) {
    if (hasRoomFor(*Target, Request.Needs, Request.Now)) {
      return Target;
    }
    if (++Tried == MaxTriedPerGroup) {
      break;
    }
  }
  return nullptr;
}

/// A target with room and when the task would end there.
struct candidate {
  target_record *Target = nullptr;
  double FinishMs = 0; ///< from now
};

/// Slots of own targets that end the task sooner than the candidate.
struct faster_slots {
  double Slots = 0;
  double SlotsTimesSpeed = 0;
};

/// Earliest expected completion, over targets with room and those about to have
/// room.
struct expected_placement {
  target_record *choose(dispatcher_state &State,
                        const placement_request &Request) const {
    const candidate Best = bestWithRoom(State, Request);
    if (Best.Target == nullptr) {
      return nullptr;
    }
    const milliseconds_f Finish(Best.FinishMs);
    // What faster targets promised is not waited for any longer than it would
    // have taken here.
    if (Request.Waited > Finish ||
        waitForFaster(State, Request, Best) >= Best.FinishMs) {
      return Best.Target;
    }
    setHoldTimer(State, Request.Now, std::chrono::ceil<milliseconds>(Finish));
    return nullptr;
  }

private:
  static candidate bestWithRoom(const dispatcher_state &State,
                                const placement_request &Request) {
    candidate Best;
    for (const auto &[Group, Members] : State.Placement.Groups) {
      if (!Request.Needs.fitsIn(Group.Capacity)) {
        continue;
      }
      target_record *Target = firstFitting(Members, Request);
      if (Target == nullptr) {
        continue;
      }
      const double Trip =
          Group.IsForeign ? milliseconds_f(config::ForeignTrip).count() : 0;
      const double Finish =
          Request.ExpectedMs / Target->Speed.hopedFor() + Trip;
      if (Best.Target == nullptr || Finish < Best.FinishMs) {
        Best = {Target, Finish};
      }
    }
    return Best;
  }

  /// @returns the expected end, from now, if the task waits for a faster target
  ///
  /// @remarks The whole queue waits for the same slots: a slower target is of
  /// use once the last of the queue would gain by it.
  static double waitForFaster(const dispatcher_state &State,
                              const placement_request &Request,
                              const candidate &Best) {
    const double Speed = Best.Target->Speed.hopedFor();
    faster_slots Faster;
    for (const auto &[Group, Members] : State.Placement.Groups) {
      const double GroupSpeed = speedOf(Group);
      const bool IsFaster = Request.Needs.fitsIn(Group.Capacity) &&
                            !Group.IsForeign && GroupSpeed > Speed;
      if (IsFaster) {
        Faster.Slots += Members.Slots;
        Faster.SlotsTimesSpeed += Members.Slots * GroupSpeed;
      }
    }
    if (Faster.Slots < 1) {
      return Best.FinishMs;
    }
    const double Queued = static_cast<double>(
        std::max<std::uint64_t>(State.Queues.size().Tasks, 1));
    return Request.ExpectedMs * (Queued + Faster.Slots) /
           Faster.SlotsTimesSpeed;
  }

  static double speedOf(const target_group &Group) {
    return std::exp2(Group.SpeedClass / SpeedClassesPerDoubling);
  }

  static void setHoldTimer(dispatcher_state &State, boot_time Now,
                           milliseconds Wait) {
    if (State.Placement.HoldTimer > Now) {
      return;
    }
    State.Placement.HoldTimer = Now + Wait;
    setTimer(State, Now + Wait, timer_kind::Dispatch);
  }
};
static_assert(placement_policy<expected_placement>);

target_record *chooseBy(const placement_policy auto &Policy,
                        dispatcher_state &State,
                        const placement_request &Request) {
  return Policy.choose(State, Request);
}
} // namespace

target_record *chooseTarget(dispatcher_state &State, const job_record &Job,
                            const task_record &Task, instant Now) {
  wakeTargets(State, Now.Boot);
  const run_time_estimate Estimate =
      State.RunTimes.estimate(Job.Team, Job.Class, Task.Request.Expected);
  const placement_request Request{
      Task.Request.Needs, static_cast<double>(Estimate.Mean.count()),
      std::chrono::floor<milliseconds>(Now.Boot - Task.QueuedAt), Now.Boot};
  switch (State.Init.Placement) {
  case placement_kind::Expected:
    return chooseBy(expected_placement{}, State, Request);
  case placement_kind::Random:
    return chooseBy(random_placement{}, State, Request);
  case placement_kind::RoundRobin:
    return chooseBy(round_robin_placement{}, State, Request);
  case placement_kind::PowerOfTwoChoices:
    return chooseBy(power_of_two_placement{}, State, Request);
  }
  return nullptr;
}

void learnFromFinished(dispatcher_state &State, const job_record &Job,
                       const task_record &Task, target_record &Target,
                       microseconds Took) {
  const run_time_estimate Estimate =
      State.RunTimes.estimate(Job.Team, Job.Class, Task.Request.Expected);
  const double Speed = Target.Speed.value();
  State.RunTimes.learn(
      Job.Team, Job.Class, Task.Request.Expected,
      microseconds(std::llround(static_cast<double>(Took.count()) * Speed)));
  if (Estimate.Samples == 0) {
    return;
  }
  const double Measured = std::max(milliseconds_f(Took).count(), 0.1);
  Target.Speed.learn(std::log(Measured * Speed) - Estimate.LogMean);
}

void onSharesChanged(dispatcher_state &State, boot_time Now) {
  const std::string &Domain = State.Init.Self.FailureDomain;
  for (auto &[Name, Target] : State.Targets) {
    const bool IsOwn = Target.Host.FailureDomain == Domain;
    Target.Window.setShare(IsOwn ? Target.SlotShare : 0);
    if (Target.Placement.SlotShare != Target.SlotShare) {
      refreshTarget(State, Target, Now);
    }
  }
}

} // namespace tarragonbridge
