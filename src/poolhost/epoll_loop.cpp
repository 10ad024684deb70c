#include "poolhost/epoll_loop.h"

#include "base/clock.h"

#include <algorithm>
#include <array>
#include <sys/epoll.h>
#include <unistd.h>

namespace tarragonbridge::poolhost {

namespace {
constexpr int MaxEventsAtOnce = 64;

std::uint64_t packData(int Fd, std::uint32_t Generation) {
  return (std::uint64_t{Generation} << 32U) | static_cast<std::uint32_t>(Fd);
}
} // namespace

epoll_loop::epoll_loop() : Epoll(epoll_create1(EPOLL_CLOEXEC)) {}

epoll_loop::~epoll_loop() { close(Epoll); }

void epoll_loop::watch(int Fd, std::uint32_t Events, handler Handler) {
  const std::uint32_t Generation = ++LastGeneration;
  epoll_event Event{};
  Event.events = Events;
  Event.data.u64 = packData(Fd, Generation);
  if (epoll_ctl(Epoll, EPOLL_CTL_ADD, Fd, &Event) != 0) {
    epoll_ctl(Epoll, EPOLL_CTL_MOD, Fd, &Event);
  }
  WatchedDescriptors[Fd] = std::make_shared<watched_descriptor>(
      watched_descriptor{Generation, std::move(Handler)});
}

void epoll_loop::modify(int Fd, std::uint32_t Events) {
  const auto Found = WatchedDescriptors.find(Fd);
  if (Found == WatchedDescriptors.end()) {
    return;
  }
  epoll_event Event{};
  Event.events = Events;
  Event.data.u64 = packData(Fd, Found->second->Generation);
  epoll_ctl(Epoll, EPOLL_CTL_MOD, Fd, &Event);
}

void epoll_loop::unwatch(int Fd) {
  if (WatchedDescriptors.erase(Fd) > 0) {
    epoll_ctl(Epoll, EPOLL_CTL_DEL, Fd, nullptr);
  }
}

boot_time epoll_loop::runOnce(boot_time Until) {
  constexpr std::int64_t MaxWaitMs = 1'000;
  const auto Wait = std::chrono::ceil<milliseconds>(Until - bootNow()).count();
  std::array<epoll_event, MaxEventsAtOnce> Events{};
  const int Count = epoll_wait(
      Epoll, Events.data(), MaxEventsAtOnce,
      static_cast<int>(std::clamp<std::int64_t>(Wait, 0, MaxWaitMs)));
  const boot_time WokenAt = bootNow();
  for (int Index = 0; Index < Count; ++Index) {
    const epoll_event &Event = Events.at(static_cast<std::size_t>(Index));
    const int Fd = static_cast<int>(Event.data.u64 & 0xffffffffU);
    const auto Found = WatchedDescriptors.find(Fd);
    if (Found == WatchedDescriptors.end() ||
        Found->second->Generation != Event.data.u64 >> 32U) {
      continue; // unwatched or replaced by an earlier handler
    }
    const std::shared_ptr<watched_descriptor> Descriptor = Found->second;
    Descriptor->Handler(Event.events);
  }
  return WokenAt;
}

} // namespace tarragonbridge::poolhost
