#include "dispatcher_fixture.h"
#include "tarragonbridge/config.h"
#include "tarragonbridge/membership.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;

namespace {
const host_identity Self{"curepipe", "cp-1", 7};

host_entry entryHost(const std::string &Name) {
  host_entry Host;
  Host.Name = Name;
  Host.Role = host_role::Entry;
  Host.FailureDomain = "curepipe";
  Host.PeerAddress = Name;
  return Host;
}

struct membership_fixture : dispatcher_fixture {
  std::vector<effect> list(std::size_t EntryHosts) {
    hosts_listed Event;
    for (std::size_t Index = 1; Index <= EntryHosts; ++Index) {
      Event.Hosts.push_back(entryHost("cp-" + std::to_string(Index)));
    }
    host_entry Target;
    Target.Name = "t";
    Target.FailureDomain = "curepipe";
    Target.Slots = 8;
    Target.Connections = 8;
    Target.Capacity = {30, 1'000, 0};
    Event.Hosts.push_back(Target);
    return apply(Event);
  }
};

struct beat_case {
  std::uint64_t WantedSlots;
  bool Leaving;
  std::size_t LeastStarted;
  std::size_t MostStarted;
};
} // namespace

TEST_CASE_METHOD(membership_fixture, "heartbeats move shares to demand") {
  const auto Case = GENERATE(values<beat_case>({
      {100, false, 4, 4}, // as busy as this host
      {0, false, 5, 8},   // idle
      {100, true, 8, 8},  // leaving
  }));
  CAPTURE(Case.WantedSlots, Case.Leaving);
  list(2);
  apply(job(1, "default", 100));
  CHECK(Started.size() == 4);
  advance(config::HeartbeatInterval);
  heartbeat_received Beat{
      request_handle{9}, {{"curepipe", "cp-2", 3}, Self}, {}};
  Beat.Beat.Load.WantedSlots = Case.WantedSlots;
  Beat.Beat.Leaving = Case.Leaving;
  apply(Beat);
  advance(config::ShareTurn);
  CHECK(Started.size() >= Case.LeastStarted);
  CHECK(Started.size() <= Case.MostStarted);
  CHECK(members(*State).at(0).Incarnation == 3);
}

TEST_CASE_METHOD(membership_fixture,
                 "heartbeats a second don't grow with the fleet") {
  const std::size_t EntryHosts = GENERATE(values<std::size_t>({3, 8, 300}));
  CAPTURE(EntryHosts);
  list(EntryHosts);
  advance(config::HeartbeatInterval);
  const auto Sent =
      only<send_heartbeat>(advance(10 * config::HeartbeatInterval));
  CHECK(Sent.size() == 10 * config::HeartbeatsPerInterval);
}

TEST_CASE_METHOD(membership_fixture, "a leaving host tells every other one") {
  list(4);
  const auto Sent = only<send_heartbeat>(apply(shutdown_requested{}));
  CHECK(Sent.size() >= 3);
  CHECK(Sent.back().Beat.Leaving);
}

TEST_CASE_METHOD(membership_fixture, "a heartbeat of no member is counted") {
  list(2);
  apply(heartbeat_received{
      request_handle{9}, {{"curepipe", "cp-9", 3}, Self}, {}});
  CHECK(count(reason::PeerMisdirected) == 1);
  CHECK(members(*State).size() == 1);
}
