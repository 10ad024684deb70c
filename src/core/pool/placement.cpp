#include "core/pool/placement_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace tarragonbridge::pool {

namespace {
/// Factor on the expected run time when checking that a task meets its
/// objective.
constexpr double RunTimeTolerance = 1.25;
/// Cost of each millisecond of round trip, in units of target speed.
constexpr double RoundTripCost = 0.04;
/// Cost of a target of another host, in units of target speed: messages are
/// needed, and its free capacity may be reserved by others meanwhile.
constexpr double OtherHostCost = 1;
/// Additional cost when that host isn't a neighbour.
constexpr double NonNeighbourCost = 2;
/// Range of the random part of a cost: costs that differ by less count as
/// similar.
constexpr double TieBreakRange = 1;
/// Number of other owners' queues that are sampled and compared.
constexpr std::size_t SampledQueues = 2;
/// Sampling weight of a non-neighbour's slots relative to a neighbour's.
constexpr double NonNeighbourQueueWeight = 0.3;

/// @returns a pseudo-random number between 0 and 1 that is fixed for an index
/// within one view
double tieBreakFor(const pool_view &View, std::size_t Key) {
  constexpr double Range = 0x1p64;
  return static_cast<double>(
             XXH3_64bits_withSeed(&Key, sizeof(Key), View.TieBreakSeed)) /
         Range;
}

/// A target with enough free capacity, rated for one task.
struct candidate {
  std::size_t FreeTarget = 0;
  bool IsShared = false; ///< with others, by a task that should run alone
  bool MeetsObjective = false;
  milliseconds CompletesIn{};
  double Cost = 0; ///< compared where the objective is met
};

bool isBetter(const candidate &A, const candidate &B) {
  if (A.IsShared != B.IsShared) {
    return B.IsShared;
  }
  if (A.MeetsObjective != B.MeetsObjective) {
    return A.MeetsObjective;
  }
  return A.MeetsObjective ? A.Cost < B.Cost : A.CompletesIn < B.CompletesIn;
}

std::optional<candidate> bestCandidate(const pool_view &View,
                                       const placement_request &Request) {
  std::optional<candidate> Best;
  for (std::size_t Index = 0; Index < View.FreeTargets.size(); ++Index) {
    const available_target &FreeTarget = View.FreeTargets[Index];
    if (FreeTarget.Service != Request.Service ||
        !Request.RequiredResources.fitsIn(FreeTarget.Free) ||
        FreeTarget.Target == Request.AvoidTarget) {
      continue;
    }
    const owner_view &Owner = View.Owners[FreeTarget.Owner];
    const milliseconds RunTime =
        runTime(Request.ExpectedRunTime, FreeTarget.Speed);
    candidate Candidate;
    Candidate.FreeTarget = Index;
    Candidate.IsShared = Request.RunsAlone && !FreeTarget.IsIdle;
    Candidate.CompletesIn = Owner.RoundTrip + RunTime;
    Candidate.MeetsObjective =
        Owner.RoundTrip + std::chrono::duration_cast<milliseconds>(
                              RunTimeTolerance * RunTime) <=
        Request.ObjectiveDeadline;
    Candidate.Cost =
        FreeTarget.Speed +
        RoundTripCost * static_cast<double>(Owner.RoundTrip.count()) +
        (Owner.IsSelf ? 0 : OtherHostCost) +
        (Owner.IsNeighbour ? 0 : NonNeighbourCost) +
        TieBreakRange * tieBreakFor(View, Index);
    if (!Best || isBetter(Candidate, *Best)) {
      Best = Candidate;
    }
  }
  return Best;
}

placement reserve(pool_view &View, const candidate &Candidate,
                  const placement_request &Request) {
  available_target &FreeTarget = View.FreeTargets[Candidate.FreeTarget];
  FreeTarget.Free -= Request.RequiredResources;
  FreeTarget.IsIdle = false;
  if (Request.RunsAlone || FreeTarget.TakesOne) {
    FreeTarget.Free = {};
  }
  return {FreeTarget.Owner, FreeTarget.Target, Candidate.CompletesIn,
          Candidate.MeetsObjective};
}

/// Samples owners by their numbers of slots, so that not all hosts join the
/// same short queue. This host is always included.
std::vector<std::size_t> sampleOwners(const pool_view &View,
                                      std::uint32_t Rejections) {
  std::vector<std::pair<double, std::size_t>> Sampled;
  std::vector<std::size_t> Owners;
  for (std::size_t Index = 0; Index < View.Owners.size(); ++Index) {
    const owner_view &Owner = View.Owners[Index];
    if (Owner.Slots == 0) {
      continue;
    }
    if (Owner.IsSelf) {
      Owners.push_back(Index);
      continue;
    }
    const double Weight =
        Owner.Slots * (Owner.IsNeighbour ? 1 : NonNeighbourQueueWeight);
    // Weighted sampling without replacement: of exponential variates with
    // these rates, each is the smallest in proportion to its weight.
    Sampled.emplace_back(
        -std::log1p(-tieBreakFor(View, View.FreeTargets.size() + Index)) /
            Weight,
        Index);
  }
  const std::size_t Count =
      std::min(SampledQueues << Rejections, Sampled.size());
  std::partial_sort(Sampled.begin(),
                    Sampled.begin() + static_cast<std::ptrdiff_t>(Count),
                    Sampled.end());
  for (std::size_t Number = 0; Number < Count; ++Number) {
    Owners.push_back(Sampled[Number].second);
  }
  return Owners;
}

std::optional<std::size_t> shortestSampledQueue(const pool_view &View,
                                                std::uint32_t Rejections) {
  std::optional<std::size_t> Best;
  const auto QueueDelayOf = [&](std::size_t Index) {
    return View.Owners[Index].PredictedQueueWait + View.Owners[Index].RoundTrip;
  };
  for (const std::size_t Index : sampleOwners(View, Rejections)) {
    if (!Best || QueueDelayOf(Index) < QueueDelayOf(*Best)) {
      Best = Index;
    }
  }
  return Best;
}
} // namespace

double saturationOf(const std::vector<owner_view> &Owners) {
  double Slots = 0;
  double QueuedSlots = 0;
  for (const owner_view &Owner : Owners) {
    Slots += Owner.Slots;
    QueuedSlots += Owner.PredictedQueueWait > milliseconds(0) ? Owner.Slots : 0;
  }
  return Slots > 0 ? QueuedSlots / Slots : 0;
}

namespace {
/// @returns how far most queues are from empty, 0 to 1
double excessOf(double Saturation) {
  constexpr double From = config::OvertakingSaturation;
  return std::clamp((Saturation - From) / (1 - From), 0.0, 1.0);
}
} // namespace

milliseconds queueingTimeAllowed(double Saturation, milliseconds Objective) {
  const double Margin =
      (1 - config::QueueAdmissionFactor) * excessOf(Saturation);
  return std::chrono::duration_cast<milliseconds>((1 - Margin) * Objective);
}

milliseconds overtakingTime(double Saturation, std::size_t Level,
                            milliseconds QueueWait) {
  const double Factor = config::OvertakingFactors.at(Level);
  return milliseconds(std::llround(Factor * excessOf(Saturation) *
                                   static_cast<double>(QueueWait.count())));
}

milliseconds runTime(milliseconds Expected, double Speed) {
  return milliseconds(
      std::llround(std::ceil(static_cast<double>(Expected.count()) / Speed)));
}

std::optional<placement> placeTask(pool_view &View,
                                   const placement_request &Request) {
  const auto Candidate = bestCandidate(View, Request);
  if (Candidate && Candidate->MeetsObjective) {
    return reserve(View, *Candidate, Request);
  }
  const std::optional<std::size_t> Queue =
      shortestSampledQueue(View, Request.Rejections);
  if (!Queue) {
    return Candidate ? std::optional(reserve(View, *Candidate, Request))
                     : std::nullopt;
  }
  owner_view &Owner = View.Owners[*Queue];
  const milliseconds RunTime =
      runTime(Request.ExpectedRunTime, Owner.MeanSpeed);
  const milliseconds QueueWait = Owner.PredictedQueueWait;
  const milliseconds CompletesIn = Owner.RoundTrip + QueueWait + RunTime;
  if (Candidate && Candidate->CompletesIn <= CompletesIn) {
    return reserve(View, *Candidate, Request);
  }
  Owner.PredictedQueueWait += RunTime / Owner.Slots;
  return placement{*Queue, "", CompletesIn,
                   CompletesIn <= Request.ObjectiveDeadline, QueueWait};
}

std::optional<placement> placeQueued(pool_view &View,
                                     std::vector<busy_target> &Busy,
                                     const placement_request &Request) {
  const auto Candidate = bestCandidate(View, Request);
  if (!Candidate || Candidate->MeetsObjective) {
    return Candidate ? std::optional(reserve(View, *Candidate, Request))
                     : std::nullopt;
  }
  const auto CompletionTimeOn = [&](const busy_target &Target) {
    return Target.FreeIn + runTime(Request.ExpectedRunTime, Target.Speed);
  };
  const auto Soonest =
      std::min_element(Busy.begin(), Busy.end(),
                       [&](const busy_target &A, const busy_target &B) {
                         return CompletionTimeOn(A) < CompletionTimeOn(B);
                       });
  if (Soonest != Busy.end() &&
      CompletionTimeOn(*Soonest) < Candidate->CompletesIn) {
    Soonest->FreeIn = CompletionTimeOn(*Soonest);
    return std::nullopt;
  }
  return reserve(View, *Candidate, Request);
}

} // namespace tarragonbridge::pool
