#include "core/pool/evacuations_p.h"

#include "core/pool/state_p.h"
#include "tarragonbridge/pool/config.h"

#include <algorithm>
#include <set>

namespace tarragonbridge::pool {

bool evacuation_list::apply(const evacuation_record &Record) {
  const auto Found = Records.find(Record.FailureDomain);
  if (Found == Records.end()) {
    evictEnded();
    Records.emplace(Record.FailureDomain, Record);
    EvacuatedCount += Record.IsEvacuated ? 1 : 0;
    return Record.IsEvacuated;
  }
  if (Record.Revision <= Found->second.Revision) {
    return false;
  }
  const bool WasEvacuated = std::exchange(Found->second, Record).IsEvacuated;
  EvacuatedCount += Record.IsEvacuated ? 1 : 0;
  EvacuatedCount -= WasEvacuated ? 1 : 0;
  return Record.IsEvacuated != WasEvacuated;
}

std::vector<evacuation_record>
evacuation_list::endMissing(const std::vector<evacuation_record> &Snapshot,
                            std::uint64_t Revision) {
  std::set<std::string_view> Present;
  for (const evacuation_record &Record : Snapshot) {
    Present.insert(Record.FailureDomain);
  }
  std::vector<evacuation_record> Ended;
  for (const auto &[FailureDomain, Record] : Records) {
    if (Record.IsEvacuated && !Present.contains(FailureDomain)) {
      Ended.push_back({FailureDomain, false, Revision});
    }
  }
  std::erase_if(Ended, [this](const evacuation_record &Record) {
    return !apply(Record);
  });
  return Ended;
}

void evacuation_list::evictEnded() {
  if (Records.size() < config::MaxEvacuationRecords) {
    return;
  }
  auto Earliest = Records.end();
  for (auto Entry = Records.begin(); Entry != Records.end(); ++Entry) {
    const bool IsEarlier = Earliest == Records.end() ||
                           Entry->second.Revision < Earliest->second.Revision;
    if (!Entry->second.IsEvacuated && IsEarlier) {
      Earliest = Entry;
    }
  }
  if (Earliest != Records.end()) {
    Records.erase(Earliest);
  }
}

bool evacuation_list::isEvacuated(std::string_view FailureDomain) const {
  const auto Found = Records.find(FailureDomain);
  return Found != Records.end() && Found->second.IsEvacuated;
}

std::vector<evacuation_record> evacuation_list::records() const {
  std::vector<evacuation_record> All;
  for (const auto &[FailureDomain, Record] : Records) {
    All.push_back(Record);
  }
  return All;
}

namespace {
std::size_t countTargets(const pool_state &State,
                         const std::string &FailureDomain) {
  return static_cast<std::size_t>(std::count_if(
      State.Targets.begin(), State.Targets.end(), [&](const auto &Entry) {
        return Entry.second.Record.FailureDomain == FailureDomain;
      }));
}

/// @returns whether a listed target or a known host is in a failure domain
bool isKnownDomain(const pool_state &State, const std::string &FailureDomain) {
  return FailureDomain == State.Init.FailureDomain ||
         countTargets(State, FailureDomain) > 0 ||
         std::any_of(
             State.Peers.begin(), State.Peers.end(), [&](const auto &Entry) {
               return Entry.second.Member.FailureDomain == FailureDomain;
             });
}

/// @param[in] Source the store, or the host that told of the change
void noteChange(reducer_context &Ctx, const evacuation_record &Record,
                const std::string &Source) {
  pool_state &State = Ctx.State;
  State.Owner.markCapacityChanged();
  const bool IsUnknown = State.HasTargetSnapshot && State.HasMemberSnapshot &&
                         !isKnownDomain(State, Record.FailureDomain);
  if (IsUnknown) {
    Ctx.log("evacuation_ignored",
            {{"failure_domain", Record.FailureDomain},
             {"revision", std::to_string(Record.Revision)},
             {"reason", "no host or target is in it"}});
    return;
  }
  const milliseconds Age = State.Evacuations.HasSnapshot
                               ? until(Ctx.Now, State.Evacuations.ReadAt)
                               : milliseconds(0);
  const bool IsBegun = Record.IsEvacuated;
  std::vector<std::pair<std::string, std::string>> Fields = {
      {"failure_domain", Record.FailureDomain},
      {"revision", std::to_string(Record.Revision)},
      {"source", Source},
      {"store_read_age_ms", std::to_string(Age.count())},
      {"targets", std::to_string(countTargets(State, Record.FailureDomain))}};
  Ctx.log(IsBegun ? "evacuation_begun" : "evacuation_ended", std::move(Fields));
}
} // namespace

void handleEvacuations(reducer_context &Ctx, evacuations_listed &&Listed) {
  const std::string Source = "store";
  evacuation_state &Evacuations = Ctx.State.Evacuations;
  Evacuations.ReadAt = Ctx.Now;
  if (Listed.IsSnapshot) {
    const auto Ended =
        Evacuations.List.endMissing(Listed.Records, Listed.Revision);
    for (const evacuation_record &Record : Ended) {
      noteChange(Ctx, Record, Source);
    }
    Evacuations.HasSnapshot = true;
    Evacuations.RecheckUntil = {};
  }
  for (const evacuation_record &Record : Listed.Records) {
    if (Evacuations.List.apply(Record)) {
      noteChange(Ctx, Record, Source);
    }
  }
}

void learnEvacuations(reducer_context &Ctx, const std::string &Peer,
                      const std::vector<evacuation_record> &Records) {
  for (const evacuation_record &Record : Records) {
    if (Ctx.State.Evacuations.List.apply(Record)) {
      noteChange(Ctx, Record, Peer);
    }
  }
}

void recheckEvacuations(reducer_context &Ctx, milliseconds PauseTime) {
  if (PauseTime < config::EvacuationRecheckPause) {
    return;
  }
  Ctx.State.Evacuations.RecheckUntil = Ctx.Now + config::EvacuationRecheckTime;
  Ctx.Effects.emplace_back(reread_configuration{true});
}

bool areEvacuationsKnown(const pool_state &State, boot_time Now) {
  const evacuation_state &Evacuations = State.Evacuations;
  return !State.Init.Rules.HonourEvacuations ||
         (Evacuations.HasSnapshot && Evacuations.RecheckUntil <= Now);
}

bool isDomainEvacuated(const pool_state &State,
                       std::string_view FailureDomain) {
  return State.Init.Rules.HonourEvacuations &&
         State.Evacuations.List.isEvacuated(FailureDomain);
}

bool isEvacuated(const pool_state &State, std::string_view Target) {
  if (!State.Evacuations.List.isAny()) {
    return false;
  }
  const auto Listed = State.Targets.find(Target);
  return Listed != State.Targets.end() &&
         isDomainEvacuated(State, Listed->second.Record.FailureDomain);
}

bool ownsOnlyEvacuated(const pool_state &State) {
  const auto &OwnedTargets = State.Owner.OwnedTargets;
  return State.Evacuations.List.isAny() && !OwnedTargets.empty() &&
         std::all_of(OwnedTargets.begin(), OwnedTargets.end(),
                     [&](const auto &Entry) {
                       const target_record &Record = Entry.second.record();
                       return isDomainEvacuated(State, Record.FailureDomain);
                     });
}

} // namespace tarragonbridge::pool
