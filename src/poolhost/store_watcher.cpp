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
constexpr std::uint32_t FailuresUntilUnreachable = 3;

/// @returns the last item of each key; a watch may report several changes of
/// one
std::map<std::string_view, const platform::store_item *>
lastItems(const platform::store_items &Items) {
  std::map<std::string_view, const platform::store_item *> Last;
  for (const platform::store_item &Item : Items.Items) {
    Last[Item.Key] = &Item;
  }
  return Last;
}

/// @returns the decoded value, or nullopt with the error's message
template <class Decode>
auto decodeOr(std::string &ErrorMessage, Decode &&Function)
    -> std::optional<std::decay_t<decltype(Function().value())>> {
  std::optional<std::decay_t<decltype(Function().value())>> Value;
  tryOr(
      [&]() -> result<bool> {
        BOOST_LEAF_AUTO(DecodedValue, Function());
        Value = std::move(DecodedValue);
        return true;
      },
      [&](const error &Error) {
        ErrorMessage = Error.Message;
        return false;
      });
  return Value;
}
} // namespace

store_watcher::store_watcher(async_http_client &HttpClient,
                             store_watcher_init Init, event_handler OnEvent,
                             invalid_item_handler OnInvalidItem)
    : Client(HttpClient), Init(std::move(Init)), OnEvent(std::move(OnEvent)),
      OnInvalidItem(std::move(OnInvalidItem)) {
  OperatorItems.Prefix = platform::OperatorPrefix;
  OperatorItems.Wait = config::WatchWait;
  Targets.Prefix = platform::TargetsPrefix;
  Targets.Wait = config::TargetsWatchWait;
  Targets.MinInterval = config::MinTargetsWatchInterval;
  Members.Prefix = platform::MembersPrefix;
  Members.Wait = config::WatchWait;
}

void store_watcher::sendRequest(platform::http_request Request,
                                milliseconds Timeout,
                                async_http_client::completion Done) {
  ++RequestCount;
  outgoing_request Outgoing;
  Outgoing.Method = std::move(Request.Method);
  Outgoing.Address = Init.StoreAddress;
  Outgoing.Path = std::move(Request.Path);
  Outgoing.Body = std::move(Request.Body);
  Outgoing.Headers = std::move(Request.Headers);
  Outgoing.Timeout = Timeout;
  Outgoing.NewConnection = std::exchange(NewConnection, false);
  Client.send(std::move(Outgoing),
              [this, SentAt = bootNow(),
               Done = std::move(Done)](received_response &&Response) {
                notePause(bootNow());
                recordResponse(SentAt, Response.Status);
                Done(std::move(Response));
              });
}

void store_watcher::notePause(boot_time Now) {
  const boot_time Last = std::exchange(LastPassAt, Now);
  if (Last != boot_time{} && Last + config::PauseThreshold < Now) {
    ResumedAt = Now;
  }
}

void store_watcher::recordResponse(boot_time SentAt, int Status) {
  constexpr int MinFailureStatus = 429;
  const bool IsInterrupted = Status == 0 && SentAt < ResumedAt;
  if (IsInterrupted) {
    // It may have been answered: its timeout passed while nobody read.
    ++FailedRequestCount;
    NewConnection = true;
    return;
  }
  recordReachability(Status != 0 && Status < MinFailureStatus);
}

void store_watcher::recordReachability(bool IsReachable) {
  if (IsReachable) {
    ConsecutiveFailures = 0;
  } else {
    ++FailedRequestCount;
    ++ConsecutiveFailures;
    NewConnection = true;
  }
  const bool IsUnreachable = ConsecutiveFailures >= FailuresUntilUnreachable;
  if (IsReachable != WasReachable && (IsReachable || IsUnreachable)) {
    WasReachable = IsReachable;
    OnEvent(pool::store_reachability{IsReachable});
  }
}

void store_watcher::onTimer(boot_time Now) {
  notePause(Now);
  for (watched_prefix *Watched : {&OperatorItems, &Targets, &Members}) {
    if (!Watched->IsRequestInFlight && Watched->DueAt <= Now) {
      readOrWatch(*Watched);
    }
  }
  if (!IsMemberRequestInFlight && !IsShuttingDown && MemberDueAt <= Now) {
    renewOrRegister();
  }
}

boot_time store_watcher::nextDueAt() const {
  boot_time Due = boot_time::max();
  for (const watched_prefix *Watched : {&OperatorItems, &Targets, &Members}) {
    if (!Watched->IsRequestInFlight) {
      Due = std::min(Due, Watched->DueAt);
    }
  }
  if (!IsMemberRequestInFlight && !IsShuttingDown) {
    Due = std::min(Due, MemberDueAt);
  }
  return Due;
}

void store_watcher::readOrWatch(watched_prefix &Watched) {
  Watched.IsRequestInFlight = true;
  Watched.SentAt = bootNow();
  if (Watched.Revision == 0) {
    sendRequest(platform::readRange(Watched.Prefix, Watched.PageAfterKey),
                config::StoreTimeout,
                [this, &Watched](received_response &&Response) {
                  onRange(Watched, Response);
                });
    return;
  }
  sendRequest(
      platform::watchPrefix(Watched.Prefix, Watched.Revision, Watched.Wait),
      Watched.Wait + config::WatchTimeoutMargin,
      [this, &Watched](received_response &&Response) {
        onWatch(Watched, Response);
      });
}

void store_watcher::onRange(watched_prefix &Watched,
                            const received_response &Response) {
  Watched.IsRequestInFlight = false;
  std::string ErrorMessage;
  std::optional<platform::store_items> Page;
  if (Response.Status == StatusOk) {
    Page = decodeOr(ErrorMessage,
                    [&] { return platform::decodeRange(Response.Body); });
  }
  if (!Page) {
    onFailure(Watched);
    return;
  }
  Watched.Backoff = milliseconds(0);
  Watched.DueAt = bootNow();
  // The pages may be read at different revisions, so the watch starts at the
  // first page's revision.
  const std::uint64_t FirstPageRevision =
      Watched.PageAfterKey.empty() ? Page->Revision : Watched.Pages.Revision;
  Watched.Pages.Revision = FirstPageRevision;
  std::move(Page->Items.begin(), Page->Items.end(),
            std::back_inserter(Watched.Pages.Items));
  const std::string LastKey =
      Watched.Pages.Items.empty() ? "" : Watched.Pages.Items.back().Key;
  // A page without a readable key can't be passed: the list ends there.
  if (Page->IsTruncated && LastKey != Watched.PageAfterKey) {
    Watched.PageAfterKey = LastKey;
    return;
  }
  Watched.PageAfterKey.clear();
  Watched.Revision = FirstPageRevision;
  const platform::store_items Items = std::exchange(Watched.Pages, {});
  deliver(Watched, Items, true);
}

void store_watcher::onWatch(watched_prefix &Watched,
                            const received_response &Response) {
  Watched.IsRequestInFlight = false;
  if (Response.Status == StatusGone) {
    Watched.Revision = 0; // the store no longer has the history since then
    Watched.DueAt = bootNow();
    return;
  }
  std::string ErrorMessage;
  std::optional<platform::store_items> Events;
  if (Response.Status == StatusOk) {
    Events = decodeOr(ErrorMessage,
                      [&] { return platform::decodeWatch(Response.Body); });
  }
  if (!Events) {
    if (Response.Status == StatusOk || Response.IsTooLarge) {
      Watched.Revision = 0; // the same events would come again, and more
    }
    onFailure(Watched);
    return;
  }
  Watched.Backoff = milliseconds(0);
  Watched.Revision = std::max(Watched.Revision, Events->Revision);
  // What a late response tells is old, after a pause of this process too.
  const boot_time Now = bootNow();
  Watched.DueAt = std::clamp(Watched.SentAt + 2 * Watched.MinInterval, Now,
                             Now + Watched.MinInterval);
  deliver(Watched, *Events, false);
}

void store_watcher::onFailure(watched_prefix &Watched) {
  Watched.PageAfterKey.clear();
  Watched.Pages = {};
  if (Watched.SentAt < ResumedAt) {
    Watched.DueAt = bootNow();
    return;
  }
  Watched.Backoff = std::clamp<milliseconds>(
      2 * Watched.Backoff, config::MinStoreBackoff, config::MaxStoreBackoff);
  Watched.DueAt = bootNow() + Watched.Backoff;
}

void store_watcher::deliver(const watched_prefix &Watched,
                            const platform::store_items &Items,
                            bool IsSnapshot) {
  if (&Watched == &OperatorItems) {
    deliverOperatorItems(Items, IsSnapshot, Watched.SentAt);
    return;
  }
  if (&Watched == &Targets) {
    evictTargets(Items, IsSnapshot);
    deliverItems<pool::targets_listed>(
        Watched, Items, IsSnapshot,
        [this](const platform::store_item &Item, std::string &ErrorMessage) {
          return decodeTargetIfChanged(Item, ErrorMessage);
        });
    return;
  }
  deliverItems<pool::members_listed>(
      Watched, Items, IsSnapshot,
      [](const platform::store_item &Item, std::string &ErrorMessage) {
        return decodeOr(ErrorMessage,
                        [&] { return platform::decodeMember(Item); });
      });
}

template <class Listed, class Decoder>
void store_watcher::deliverItems(const watched_prefix &Watched,
                                 const platform::store_items &Items,
                                 bool IsSnapshot, Decoder &&DecodeItem) {
  Listed Event;
  Event.IsSnapshot = IsSnapshot;
  for (const auto &[Key, Last] : lastItems(Items)) {
    const platform::store_item &Item = *Last;
    if (!Key.starts_with(Watched.Prefix)) {
      continue;
    }
    if (Item.IsRemoved) {
      Event.Removed.push_back(Item.Key.substr(Watched.Prefix.size()));
      continue;
    }
    std::string ErrorMessage;
    if (auto Record = DecodeItem(Item, ErrorMessage)) {
      Event.Upserted.push_back(std::move(*Record));
    } else {
      // It names nothing to use, whatever its key named before.
      OnInvalidItem(Item.Key, ErrorMessage);
      Event.Removed.push_back(Item.Key.substr(Watched.Prefix.size()));
    }
  }
  OnEvent(std::move(Event));
}

void store_watcher::evictTargets(const platform::store_items &Items,
                                 bool IsSnapshot) {
  if (IsSnapshot) {
    CachedTargets.clear();
  }
  for (const platform::store_item &Item : Items.Items) {
    if (Item.IsRemoved) {
      CachedTargets.erase(Item.Key);
    }
  }
}

std::optional<pool::target_record>
store_watcher::decodeTargetIfChanged(const platform::store_item &Item,
                                     std::string &ErrorMessage) {
  const auto Cached = CachedTargets.find(Item.Key);
  if (Cached != CachedTargets.end() &&
      platform::isEquivalentTarget(Cached->second.ItemValue, Item.Value)) {
    return Cached->second.Record;
  }
  auto Target =
      decodeOr(ErrorMessage, [&] { return platform::decodeTarget(Item); });
  if (Target) {
    CachedTargets[Item.Key] = {Item.Value, *Target};
  }
  return Target;
}

void store_watcher::deliverOperatorItems(const platform::store_items &Items,
                                         bool IsSnapshot, boot_time ReadAt) {
  deliverEvacuations(Items, IsSnapshot, ReadAt);
  for (const auto &[Key, Last] : lastItems(Items)) {
    if (!Last->IsRemoved && Key == platform::ConfigurationKey) {
      deliverConfiguration(*Last);
    }
  }
}

void store_watcher::deliverEvacuations(const platform::store_items &Items,
                                       bool IsSnapshot, boot_time ReadAt) {
  pool::evacuations_listed Event;
  Event.IsSnapshot = IsSnapshot;
  Event.ReadAt = ReadAt;
  Event.Revision = Items.Revision;
  for (const auto &[Key, Last] : lastItems(Items)) {
    if (!Key.starts_with(platform::EvacuationsPrefix)) {
      continue;
    }
    std::string ErrorMessage;
    if (auto Evacuation = decodeOr(ErrorMessage, [Item = Last] {
          return platform::decodeEvacuation(*Item);
        })) {
      Event.Records.push_back(std::move(*Evacuation));
    } else {
      reportInvalidOnce(*Last, ErrorMessage);
    }
  }
  OnEvent(std::move(Event));
}

void store_watcher::reportInvalidOnce(const platform::store_item &Item,
                                      const std::string &Reason) {
  const auto [Reported, IsNew] =
      ReportedInvalidRevisions.try_emplace(Item.Key, Item.Revision);
  const std::uint64_t Before = std::exchange(Reported->second, Item.Revision);
  if (IsNew || Before != Item.Revision) {
    OnInvalidItem(Item.Key, Reason);
  }
}

void store_watcher::deliverConfiguration(const platform::store_item &Item) {
  if (Item.Revision == ConfigurationRevision) {
    return;
  }
  std::string ErrorMessage;
  auto Decoded = decodeOr(
      ErrorMessage, [&] { return platform::decodeConfiguration(Item.Value); });
  if (!Decoded) {
    OnInvalidItem(Item.Key, ErrorMessage);
    return;
  }
  ConfigurationRevision = Item.Revision;
  OnEvent(pool::configuration_read{std::move(*Decoded)});
}

void store_watcher::rereadOperatorItems(bool IsAfterNow) {
  if (RereadsInFlight == 0 || IsAfterNow) {
    ++RereadsInFlight;
    readRereadPage({bootNow(), {}});
  }
}

void store_watcher::readRereadPage(reread Reread) {
  const std::string AfterKey =
      Reread.Pages.Items.empty() ? "" : Reread.Pages.Items.back().Key;
  sendRequest(
      platform::readRange(platform::OperatorPrefix, AfterKey),
      config::StoreTimeout,
      [this, Reread = std::move(Reread)](received_response &&Response) mutable {
        onReread(std::move(Reread), Response);
      });
}

void store_watcher::onReread(reread &&Reread,
                             const received_response &Response) {
  std::string ErrorMessage;
  std::optional<platform::store_items> Page;
  if (Response.Status == StatusOk) {
    Page = decodeOr(ErrorMessage,
                    [&] { return platform::decodeRange(Response.Body); });
  }
  const bool IsFirst = Reread.Pages.Items.empty();
  const bool IsContinued = Page && Page->IsTruncated && !Page->Items.empty();
  if (Page) {
    std::move(Page->Items.begin(), Page->Items.end(),
              std::back_inserter(Reread.Pages.Items));
    Reread.Pages.Revision = IsFirst ? Page->Revision : Reread.Pages.Revision;
  }
  if (IsContinued) {
    readRereadPage(std::move(Reread));
    return;
  }
  --RereadsInFlight;
  if (Page) {
    deliverOperatorItems(Reread.Pages, true, Reread.SentAt);
  }
}

void store_watcher::renewOrRegister() {
  if (Lease == 0) {
    grantMemberLease();
  } else if (!IsRegistered) {
    writeMember();
  } else {
    IsMemberRequestInFlight = true;
    sendRequest(platform::renewLease(Lease), config::StoreTimeout,
                [this](received_response &&Response) {
                  IsMemberRequestInFlight = false;
                  MemberDueAt = bootNow() + config::MemberRenewalInterval;
                  if (Response.Status == StatusNotFound) {
                    Lease = 0;
                    IsRegistered = false;
                    MemberDueAt = bootNow();
                  }
                });
  }
}

void store_watcher::grantMemberLease() {
  IsMemberRequestInFlight = true;
  sendRequest(platform::grantLease(config::MemberLeaseTime),
              config::StoreTimeout, [this](received_response &&Response) {
                IsMemberRequestInFlight = false;
                MemberDueAt = bootNow() + config::MinStoreBackoff;
                std::string ErrorMessage;
                if (Response.Status != StatusOk) {
                  return;
                }
                if (const auto Granted = decodeOr(ErrorMessage, [&] {
                      return platform::decodeLease(Response.Body);
                    })) {
                  Lease = *Granted;
                  MemberDueAt = bootNow();
                }
              });
}

void store_watcher::writeMember() {
  IsMemberRequestInFlight = true;
  const std::string Key =
      std::string(platform::MembersPrefix) + Init.Self.Host.Name;
  sendRequest(
      platform::writeItem(Key, platform::encodeMember(Init.Self), Lease),
      config::StoreTimeout, [this](received_response &&Response) {
        IsMemberRequestInFlight = false;
        MemberDueAt = bootNow() + config::MinStoreBackoff;
        if (Response.Status == StatusNotFound) {
          Lease = 0;
          return;
        }
        std::string ErrorMessage;
        if (Response.Status != StatusOk) {
          return;
        }
        if (const auto Revision = decodeOr(ErrorMessage, [&] {
              return platform::decodeWrite(Response.Body);
            })) {
          IsRegistered = true;
          MemberDueAt = bootNow() + config::MemberRenewalInterval;
          OnEvent(pool::member_registered{*Revision});
        }
      });
}

void store_watcher::unregister() {
  IsShuttingDown = true;
  if (Lease != 0) {
    sendRequest(platform::revokeLease(Lease), config::StoreTimeout,
                [](received_response &&) {});
  }
}

} // namespace tarragonbridge::poolhost
