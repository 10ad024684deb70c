#include "platform/store_follower.h"

#include "base/clock.h"
#include "base/codec.h"
#include "tarragonbridge/config.h"

#include <algorithm>

namespace tarragonbridge {

store_follower::store_follower(const std::string &ThreadName,
                               store_client Store, std::string Prefix,
                               follower_events Events)
    : Store(std::move(Store)), Prefix(std::move(Prefix)),
      Events(std::move(Events)),
      Backoff(config::StoreBackoffFirst, config::StoreBackoffMost,
              randomNumber()) {
  Thread = posix_thread(ThreadName, [this] { run(); });
}

store_follower::~store_follower() {
  stop();
  Thread.join();
}

void store_follower::stop() {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Ready.notify_one();
}

bool store_follower::isStopping() const {
  const std::lock_guard Lock(Mutex);
  return Stopping;
}

void store_follower::waitFor(milliseconds Time) {
  std::unique_lock Lock(Mutex);
  Ready.wait_for(Lock, Time, [this] { return Stopping; });
}

void store_follower::run() {
  while (!isStopping()) {
    const bool Succeeded =
        NeedsWhole ? readWhole() && watchOnce() : watchOnce();
    if (Succeeded) {
      Backoff.reset();
    }
    // Also after a success, since a store may cut each watch at once.
    if (NeedsWhole) {
      waitFor(Backoff.next());
    }
  }
}

bool store_follower::readWhole() {
  return tryOr(
      [&]() -> result<bool> {
        BOOST_LEAF_AUTO(Range, Store.range(Prefix));
        Seen = Range.Revision;
        Next = Range.Revision + 1;
        NeedsWhole = false;
        ReadAt = bootNow();
        Events.OnContact(true, "");
        Events.OnWhole(Range);
        return true;
      },
      [&](const error &Error) {
        Events.OnContact(false, Error.Peer + ": " + Error.Message);
        return false;
      });
}

bool store_follower::watchOnce() {
  return tryOr(
      [&]() -> result<bool> {
        BOOST_LEAF_AUTO(
            End, Store.watch(
                     Prefix, Next,
                     [this](const watch_message &M) { return onMessage(M); },
                     [this] { return !isStopping(); }));
        NeedsWhole = NeedsWhole || End == watch_end::Cut ||
                     bootNow() - ReadAt > config::StoreRefreshInterval;
        return true;
      },
      [&](const error &Error) {
        NeedsWhole = true;
        Events.OnContact(false, Error.Peer + ": " + Error.Message);
        return false;
      });
}

bool store_follower::onMessage(const watch_message &Message) {
  if (Message.Canceled || Message.CompactRevision != 0 ||
      Message.Revision < Seen) {
    NeedsWhole = true;
    return false;
  }
  Seen = Message.Revision;
  Events.OnContact(true, "");
  if (!Message.Changes.empty()) {
    for (const store_change &Change : Message.Changes) {
      Next = std::max(Next, Change.Entry.ModRevision + 1);
    }
    Events.OnChanges(Message.Changes);
  } else if (!Message.Created) {
    // A message without changes tells that all up to its revision were told.
    Next = std::max(Next, Message.Revision + 1);
  }
  return true;
}

} // namespace tarragonbridge
