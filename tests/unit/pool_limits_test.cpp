/// What a pool host holds for strangers and for clients that don't behave.
#include "core/pool/peer_link_p.h"
#include "pool_simulation.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;
using namespace tarragonbridge::pool;
using namespace std::chrono_literals;

namespace {
constexpr boot_time Start{1h};

pool_init smallInit() {
  pool_init Init;
  Init.Name = "a";
  Init.FailureDomain = "east";
  Init.Incarnation = 1;
  Init.Limits.MaxUnlistedPeers = 16;
  return Init;
}

datagram_received datagramOf(const std::string &Name) {
  datagram_received Received;
  Received.Datagram.From = {Name, 1};
  Received.Datagram.FailureDomain = "east";
  Received.Datagram.StateNumber = 1;
  Received.SourceAddress = "127.0.0.1:1";
  return Received;
}
} // namespace

// Guards against memory and time without bound: each name is kept for seconds,
// and each event looks at all of them.
TEST_CASE("few strangers are known at a time", "[pool]") {
  const pool_host Host = makePoolHost(smallInit());
  std::vector<effect> Effects;
  members_listed Listed;
  Listed.IsSnapshot = true;
  for (int Index = 0; Index < 40; ++Index) {
    Listed.Upserted.push_back(
        {{"m" + std::to_string(Index), 1}, "127.0.0.1:2", "east"});
  }
  reduce(*Host, members_listed(Listed), Start, Effects);
  for (int Index = 0; Index < 1'000; ++Index) {
    reduce(*Host, datagramOf("stranger-" + std::to_string(Index)), Start,
           Effects);
    reduce(*Host, datagramOf("m" + std::to_string(Index % 40)), Start, Effects);
  }
  const pool_metrics Metrics = metricsOf(*Host, Start);
  CHECK(Metrics.PeersKnown == 40 + 16);
  CHECK(Metrics.Counters.at(
            static_cast<std::size_t>(counter::StrangersDropped)) == 1'000 - 16);
}

TEST_CASE("a datagram under a name that is too long is rejected", "[pool]") {
  const std::size_t Bytes = GENERATE(256U, 257U, 60'000U);
  const bool IsHost = GENERATE(true, false);
  CAPTURE(Bytes, IsHost);
  datagram Sent;
  Sent.From = {IsHost ? std::string(Bytes, 'n') : "a", 1};
  Sent.FailureDomain = IsHost ? "east" : std::string(Bytes, 'd');
  CHECK(decodeDatagram(encodeDatagram(Sent, "")).has_value() == (Bytes == 256));
}

// Guards against a peer that leaves out messages: each number past the missing
// one is kept.
TEST_CASE("a link keeps few numbers of messages that came early", "[pool]") {
  peer_link Link(1);
  CHECK_FALSE(Link.accept(config::ReceiveWindow + 1));
  CHECK(Link.accept(config::ReceiveWindow));
  CHECK(Link.accept(1));
  CHECK(Link.accept(config::ReceiveWindow + 1)); // sent again
}

// A 429 says that the job never runs.
TEST_CASE("a submission without room is refused only if nothing of it runs",
          "[pool]") {
  simulation_init Init;
  Init.Hosts = 1;
  pool_simulation World(Init);
  World.settle();
  simulated_job Job{"j", 2};
  Job.RunTime = 2s;
  const request_handle First = World.submit(0, Job);
  World.runFor(500ms);
  Job.HasRoom = false;
  const request_handle WhileItRuns = World.submit(0, Job);
  World.runFor(3s);
  CHECK(World.responseOf(First) == response_kind::JobDone);
  CHECK(World.responseOf(WhileItRuns) == response_kind::JobDone);
  const std::uint64_t Starts = World.startCount();
  const request_handle Later = World.submit(0, Job);
  simulated_job Other{"k", 1};
  Other.HasRoom = false;
  const request_handle OtherJob = World.submit(0, Other);
  World.runFor(1s);
  CHECK(World.responseOf(Later) == response_kind::JobDone);
  CHECK(World.responseOf(OtherJob) == response_kind::Overloaded);
  CHECK(World.startCount() == Starts);
}
