#include "poolhost/store_watcher.h"

#include "base/clock.h"
#include "tarragonbridge/pool/config.h"

#include <algorithm>

namespace tarragonbridge::poolhost {

namespace {
namespace config = pool::config;

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusGone = 410;
/// Consecutive failed requests after which the store counts as unreachable.
constexpr std::uint32_t FailuresUntilLost = 3;

/// @returns the decoded value, or nullopt with the error's message
template <class Decode>
auto decodeOr(std::string &Fault, Decode &&Function)
    -> std::optional<std::decay_t<decltype(Function().value())>> {
  std::optional<std::decay_t<decltype(Function().value())>> Value;
  tryOr(
      [&]() -> result<bool> {
        BOOST_LEAF_AUTO(Got, Function());
        Value = std::move(Got);
        return true;
      },
      [&](const error &Error) {
        Fault = Error.Message;
        return false;
      });
  return Value;
}
} // namespace

store_watcher::store_watcher(async_http_client &Calls, store_watcher_init Init,
                             event_handler OnEvent,
                             invalid_item_handler OnFault)
    : Client(Calls), Init(std::move(Init)), OnEvent(std::move(OnEvent)),
      OnFault(std::move(OnFault)) {
  Configuration.Prefix = platform::ConfigurationKey;
  Configuration.Wait = config::WatchWait;
  Targets.Prefix = platform::TargetsPrefix;
  Targets.Wait = config::TargetsWatchWait;
  Targets.Pause = config::MinTargetsWatchInterval;
  Members.Prefix = platform::MembersPrefix;
  Members.Wait = config::WatchWait;
}

void store_watcher::call(platform::http_request Call, milliseconds Timeout,
                         async_http_client::completion Done) {
  ++RequestCount;
  outgoing_request Outgoing;
  Outgoing.Method = std::move(Call.Method);
  Outgoing.Address = Init.StoreAddress;
  Outgoing.Path = std::move(Call.Path);
  Outgoing.Body = std::move(Call.Body);
  Outgoing.Headers = std::move(Call.Headers);
  Outgoing.Timeout = Timeout;
  Outgoing.NewConnection = std::exchange(NewConnection, false);
  Client.send(std::move(Outgoing), [this, Done = std::move(Done)](
                                       received_response &&Result) {
    constexpr int FirstServerFault = 429;
    noteContact(Result.Status != 0 && Result.Status < FirstServerFault);
    Done(std::move(Result));
  });
}

void store_watcher::noteContact(bool IsReachable) {
  if (IsReachable) {
    FailuresInARow = 0;
  } else {
    ++FailedCalls;
    ++FailuresInARow;
    NewConnection = true;
  }
  const bool IsLost = FailuresInARow >= FailuresUntilLost;
  if (IsReachable != WasReachable && (IsReachable || IsLost)) {
    WasReachable = IsReachable;
    OnEvent(pool::store_reachability{IsReachable});
  }
}

void store_watcher::onTimer(boot_time Now) {
  for (watched_prefix *Followed : {&Configuration, &Targets, &Members}) {
    if (!Followed->IsUnderway && Followed->DueAt <= Now) {
      readOrWatch(*Followed);
    }
  }
  if (!MemberIsUnderway && !IsShuttingDown && MemberDueAt <= Now) {
    renewOrRegister();
  }
}

boot_time store_watcher::nextDue() const {
  boot_time Due = boot_time::max();
  for (const watched_prefix *Followed : {&Configuration, &Targets, &Members}) {
    if (!Followed->IsUnderway) {
      Due = std::min(Due, Followed->DueAt);
    }
  }
  if (!MemberIsUnderway && !IsShuttingDown) {
    Due = std::min(Due, MemberDueAt);
  }
  return Due;
}

void store_watcher::readOrWatch(watched_prefix &Followed) {
  Followed.IsUnderway = true;
  if (Followed.Revision == 0) {
    call(platform::readRange(Followed.Prefix, Followed.PageAfter),
         config::StoreTimeout, [this, &Followed](received_response &&Result) {
           onRange(Followed, Result);
         });
    return;
  }
  call(platform::watchPrefix(Followed.Prefix, Followed.Revision, Followed.Wait),
       Followed.Wait + config::WatchTimeoutMargin,
       [this, &Followed](received_response &&Result) {
         onWatch(Followed, Result);
       });
}

void store_watcher::onRange(watched_prefix &Followed,
                            const received_response &Result) {
  Followed.IsUnderway = false;
  std::string Fault;
  std::optional<platform::store_items> Page;
  if (Result.Status == StatusOk) {
    Page = decodeOr(Fault, [&] { return platform::decodeRange(Result.Body); });
  }
  if (!Page) {
    onFailure(Followed);
    return;
  }
  Followed.Backoff = milliseconds(0);
  Followed.DueAt = bootNow();
  // The pages may be read at different revisions, so the watch starts at the
  // first page's revision.
  const std::uint64_t At =
      Followed.PageAfter.empty() ? Page->Revision : Followed.Pages.Revision;
  Followed.Pages.Revision = At;
  std::move(Page->Items.begin(), Page->Items.end(),
            std::back_inserter(Followed.Pages.Items));
  if (Page->IsTruncated && !Followed.Pages.Items.empty()) {
    Followed.PageAfter = Followed.Pages.Items.back().Key;
    return;
  }
  Followed.PageAfter.clear();
  Followed.Revision = At;
  const platform::store_items Items = std::exchange(Followed.Pages, {});
  deliver(Followed, Items, true);
}

void store_watcher::onWatch(watched_prefix &Followed,
                            const received_response &Result) {
  Followed.IsUnderway = false;
  if (Result.Status == StatusGone) {
    Followed.Revision = 0; // the store no longer has the history since then
    Followed.DueAt = bootNow();
    return;
  }
  std::string Fault;
  std::optional<platform::store_items> Events;
  if (Result.Status == StatusOk) {
    Events =
        decodeOr(Fault, [&] { return platform::decodeWatch(Result.Body); });
  }
  if (!Events) {
    onFailure(Followed);
    return;
  }
  Followed.Backoff = milliseconds(0);
  Followed.Revision = std::max(Followed.Revision, Events->Revision);
  Followed.DueAt = bootNow() + Followed.Pause;
  deliver(Followed, *Events, false);
}

void store_watcher::onFailure(watched_prefix &Followed) {
  Followed.PageAfter.clear();
  Followed.Pages = {};
  Followed.Backoff = std::clamp<milliseconds>(
      2 * Followed.Backoff, config::MinStoreBackoff, config::MaxStoreBackoff);
  Followed.DueAt = bootNow() + Followed.Backoff;
}

void store_watcher::deliver(const watched_prefix &Followed,
                            const platform::store_items &Items, bool IsWhole) {
  if (&Followed == &Configuration) {
    for (const platform::store_item &Item : Items.Items) {
      if (!Item.IsRemoved && Item.Key == platform::ConfigurationKey) {
        deliverConfiguration(Item);
      }
    }
    return;
  }
  if (&Followed == &Targets) {
    forgetTargets(Items, IsWhole);
    deliverEntries<pool::targets_listed>(
        Followed, Items, IsWhole,
        [this](const platform::store_item &Item, std::string &Fault) {
          return readTarget(Item, Fault);
        });
    return;
  }
  deliverEntries<pool::members_listed>(
      Followed, Items, IsWhole,
      [](const platform::store_item &Item, std::string &Fault) {
        return decodeOr(Fault, [&] { return platform::decodeMember(Item); });
      });
}

template <class Listed, class Read>
void store_watcher::deliverEntries(const watched_prefix &Followed,
                                   const platform::store_items &Items,
                                   bool IsWhole, Read &&ReadEntry) {
  Listed Event;
  Event.IsSnapshot = IsWhole;
  for (const platform::store_item &Item : Items.Items) {
    if (Item.IsRemoved) {
      Event.Removed.push_back(Item.Key.substr(Followed.Prefix.size()));
      continue;
    }
    std::string Fault;
    if (auto Record = ReadEntry(Item, Fault)) {
      Event.Upserted.push_back(std::move(*Record));
    } else {
      OnFault(Item.Key, Fault);
    }
  }
  OnEvent(std::move(Event));
}

void store_watcher::forgetTargets(const platform::store_items &Items,
                                  bool IsWhole) {
  if (IsWhole) {
    KnownTargets.clear();
  }
  for (const platform::store_item &Item : Items.Items) {
    if (Item.IsRemoved) {
      KnownTargets.erase(Item.Key);
    }
  }
}

std::optional<pool::target_record>
store_watcher::readTarget(const platform::store_item &Item,
                          std::string &Fault) {
  const auto Known = KnownTargets.find(Item.Key);
  if (Known != KnownTargets.end() &&
      platform::isEquivalentTarget(Known->second.Entry, Item.Value)) {
    return Known->second.Record;
  }
  auto Target = decodeOr(Fault, [&] { return platform::decodeTarget(Item); });
  if (Target) {
    KnownTargets[Item.Key] = {Item.Value, *Target};
  }
  return Target;
}

void store_watcher::deliverConfiguration(const platform::store_item &Item) {
  if (Item.Revision == ConfigurationRevision) {
    return;
  }
  std::string Fault;
  auto Decoded = decodeOr(
      Fault, [&] { return platform::decodeConfiguration(Item.Value); });
  if (!Decoded) {
    OnFault(Item.Key, Fault);
    return;
  }
  ConfigurationRevision = Item.Revision;
  OnEvent(pool::configuration_read{std::move(*Decoded)});
}

void store_watcher::rereadConfiguration() {
  if (RereadIsUnderway) {
    return;
  }
  RereadIsUnderway = true;
  call(platform::readItem(platform::ConfigurationKey), config::StoreTimeout,
       [this](received_response &&Result) {
         RereadIsUnderway = false;
         std::string Fault;
         if (Result.Status != StatusOk) {
           return;
         }
         if (const auto Item = decodeOr(
                 Fault, [&] { return platform::decodeItem(Result.Body); })) {
           deliverConfiguration(*Item);
         }
       });
}

void store_watcher::renewOrRegister() {
  if (Lease == 0) {
    grant();
  } else if (!IsWritten) {
    write();
  } else {
    MemberIsUnderway = true;
    call(platform::renewLease(Lease), config::StoreTimeout,
         [this](received_response &&Result) {
           MemberIsUnderway = false;
           MemberDueAt = bootNow() + config::MemberRenewalInterval;
           if (Result.Status == StatusNotFound) {
             Lease = 0;
             IsWritten = false;
             MemberDueAt = bootNow();
           }
         });
  }
}

void store_watcher::grant() {
  MemberIsUnderway = true;
  call(platform::grantLease(config::MemberLeaseTime), config::StoreTimeout,
       [this](received_response &&Result) {
         MemberIsUnderway = false;
         MemberDueAt = bootNow() + config::MinStoreBackoff;
         std::string Fault;
         if (Result.Status != StatusOk) {
           return;
         }
         if (const auto Granted = decodeOr(
                 Fault, [&] { return platform::decodeLease(Result.Body); })) {
           Lease = *Granted;
           MemberDueAt = bootNow();
         }
       });
}

void store_watcher::write() {
  MemberIsUnderway = true;
  const std::string Key =
      std::string(platform::MembersPrefix) + Init.Self.Host.Name;
  call(platform::writeItem(Key, platform::encodeMember(Init.Self), Lease),
       config::StoreTimeout, [this](received_response &&Result) {
         MemberIsUnderway = false;
         MemberDueAt = bootNow() + config::MinStoreBackoff;
         if (Result.Status == StatusNotFound) {
           Lease = 0;
           return;
         }
         std::string Fault;
         if (Result.Status != StatusOk) {
           return;
         }
         if (const auto Revision = decodeOr(
                 Fault, [&] { return platform::decodeWrite(Result.Body); })) {
           IsWritten = true;
           MemberDueAt = bootNow() + config::MemberRenewalInterval;
           OnEvent(pool::member_registered{*Revision});
         }
       });
}

void store_watcher::unregister() {
  IsShuttingDown = true;
  if (Lease != 0) {
    call(platform::revokeLease(Lease), config::StoreTimeout,
         [](received_response &&) {});
  }
}

} // namespace tarragonbridge::poolhost
