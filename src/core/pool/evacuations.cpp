#include "core/pool/evacuations_p.h"

#include "core/pool/state_p.h"
#include "tarragonbridge/pool/config.h"

#include <algorithm>
#include <set>

namespace tarragonbridge::pool {

bool evacuation_list::apply(const evacuation_record &Record) {
  const auto Found = Records.find(Record.FailureDomain);
  if (Found == Records.end()) {
    if (!makeRoom()) {
      return false;
    }
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

bool evacuation_list::makeRoom() {
  if (Records.size() < config::MaxEvacuationRecords) {
    return true;
  }
  auto Earliest = Records.end();
  for (auto Entry = Records.begin(); Entry != Records.end(); ++Entry) {
    const bool IsEarlier = Earliest == Records.end() ||
                           Entry->second.Revision < Earliest->second.Revision;
    if (!Entry->second.IsEvacuated && IsEarlier) {
      Earliest = Entry;
    }
  }
  if (Earliest == Records.end()) {
    return false;
  }
  Records.erase(Earliest);
  return true;
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

/// Logs a request for an unknown failure domain, once.
void logIgnored(reducer_context &Ctx, const evacuation_record &Record) {
  auto &Ignored = Ctx.State.Evacuations.Ignored;
  const bool IsNew =
      Ignored.size() < config::MaxEvacuationRecords &&
      Ignored.emplace(Record.FailureDomain, Record.Revision).second;
  if (IsNew) {
    Ctx.log("evacuation_ignored",
            {{"failure_domain", Record.FailureDomain},
             {"revision", std::to_string(Record.Revision)},
             {"reason", "no host or target is in it"}});
  }
}

/// @param[in] Source the store, or the host that told of the change
void noteChange(reducer_context &Ctx, const evacuation_record &Record,
                const std::string &Source) {
  pool_state &State = Ctx.State;
  State.Owner.markCapacityChanged();
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

void applyRecords(reducer_context &Ctx,
                  const std::vector<evacuation_record> &Records,
                  const std::string &Source) {
  evacuation_list &List = Ctx.State.Evacuations.List;
  for (const evacuation_record &Record : Records) {
    if (!List.contains(Record.FailureDomain) &&
        !isKnownDomain(Ctx.State, Record.FailureDomain)) {
      logIgnored(Ctx, Record);
    } else if (List.apply(Record)) {
      noteChange(Ctx, Record, Source);
    }
  }
}

/// Records that a snapshot was read. One that was asked for before a pause
/// doesn't end the recheck after it.
void noteSnapshot(pool_state &State, const evacuations_listed &Listed) {
  evacuation_state &Evacuations = State.Evacuations;
  Evacuations.HasSnapshot = true;
  Evacuations.SnapshotRevision =
      std::max(Evacuations.SnapshotRevision, Listed.Revision);
  if (Listed.ReadAt >= Evacuations.ResumedAt) {
    Evacuations.RecheckUntil = {};
    State.Owner.markCapacityChanged();
  }
}
} // namespace

void handleEvacuations(reducer_context &Ctx, evacuations_listed &&Listed) {
  const std::string Source = "store";
  pool_state &State = Ctx.State;
  evacuation_state &Evacuations = State.Evacuations;
  if (!State.HasTargetSnapshot || !State.HasMemberSnapshot) {
    if (Listed.IsSnapshot) {
      Evacuations.Pending.clear();
    }
    Evacuations.Pending.push_back(std::move(Listed));
    return;
  }
  Evacuations.ReadAt = Ctx.Now;
  if (Listed.IsSnapshot) {
    for (const evacuation_record &Record :
         Evacuations.List.endMissing(Listed.Records, Listed.Revision)) {
      noteChange(Ctx, Record, Source);
    }
    noteSnapshot(State, Listed);
  }
  applyRecords(Ctx, Listed.Records, Source);
}

void handlePendingEvacuations(reducer_context &Ctx) {
  const pool_state &State = Ctx.State;
  if (!State.HasTargetSnapshot || !State.HasMemberSnapshot) {
    return;
  }
  auto Pending = std::exchange(Ctx.State.Evacuations.Pending, {});
  for (evacuations_listed &Listed : Pending) {
    handleEvacuations(Ctx, std::move(Listed));
  }
}

void learnEvacuations(reducer_context &Ctx, const std::string &Peer,
                      const std::vector<evacuation_record> &Records) {
  const evacuation_state &Evacuations = Ctx.State.Evacuations;
  for (const evacuation_record &Record : Records) {
    // The peer hasn't heard of the end that this host's list shows.
    const bool IsEnded = Record.Revision <= Evacuations.SnapshotRevision &&
                         !Evacuations.List.isEvacuated(Record.FailureDomain);
    if (!Record.IsEvacuated || !IsEnded) {
      applyRecords(Ctx, {Record}, Peer);
    }
  }
}

void recheckEvacuations(reducer_context &Ctx, milliseconds PauseTime) {
  evacuation_state &Evacuations = Ctx.State.Evacuations;
  if (PauseTime < config::EvacuationRecheckPause ||
      !Ctx.State.StoreIsReachable) {
    return; // without the store, peers tell of evacuations
  }
  Evacuations.ResumedAt = Ctx.Now;
  Evacuations.RecheckUntil = Ctx.Now + config::EvacuationRecheckTime;
  Ctx.State.Owner.markCapacityChanged();
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
                       const owned_target &OwnedTarget = Entry.second;
                       return OwnedTarget.phase() == ownership_phase::Lost ||
                              isDomainEvacuated(
                                  State, OwnedTarget.record().FailureDomain);
                     });
}

bool areAllEvacuated(const pool_state &State) {
  return State.Evacuations.List.isAny() && !State.Targets.empty() &&
         std::all_of(State.Targets.begin(), State.Targets.end(),
                     [&](const auto &Entry) {
                       return isDomainEvacuated(
                           State, Entry.second.Record.FailureDomain);
                     });
}

} // namespace tarragonbridge::pool
