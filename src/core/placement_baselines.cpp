#include "core/placement_baselines_p.h"

#include <vector>

namespace tarragonbridge {

namespace {
std::vector<target_record *> allWithRoom(dispatcher_state &State,
                                         const placement_request &Request) {
  std::vector<target_record *> Candidates;
  for (auto &[Name, Target] : State.Targets) {
    if (hasRoomFor(Target, Request.Needs, Request.Now)) {
      Candidates.push_back(&Target);
    }
  }
  return Candidates;
}

target_record *drawOne(dispatcher_state &State,
                       const std::vector<target_record *> &Candidates) {
  std::uniform_int_distribution<std::size_t> Any(0, Candidates.size() - 1);
  return Candidates[Any(State.Random)];
}

double loadOf(const target_record &Target) {
  return static_cast<double>(Target.Running.size()) / Target.Host.Slots;
}
} // namespace

target_record *
random_placement::choose(dispatcher_state &State,
                         const placement_request &Request) const {
  const auto Candidates = allWithRoom(State, Request);
  return Candidates.empty() ? nullptr : drawOne(State, Candidates);
}

target_record *
round_robin_placement::choose(dispatcher_state &State,
                              const placement_request &Request) const {
  const auto Candidates = allWithRoom(State, Request);
  if (Candidates.empty()) {
    return nullptr;
  }
  for (target_record *Target : Candidates) {
    if (Target->Host.Name > State.LastPlaced) {
      State.LastPlaced = Target->Host.Name;
      return Target;
    }
  }
  State.LastPlaced = Candidates.front()->Host.Name;
  return Candidates.front();
}

target_record *
power_of_two_placement::choose(dispatcher_state &State,
                               const placement_request &Request) const {
  const auto Candidates = allWithRoom(State, Request);
  if (Candidates.empty()) {
    return nullptr;
  }
  target_record *First = drawOne(State, Candidates);
  target_record *Second = drawOne(State, Candidates);
  return loadOf(*Second) < loadOf(*First) ? Second : First;
}

} // namespace tarragonbridge
