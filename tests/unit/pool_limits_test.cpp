/// What a pool host holds for strangers and for clients that don't behave.
#include "core/pool/peer_link_p.h"
#include "pool_simulation.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;
using namespace tarragonbridge::pool;
using namespace std::chrono_literals;

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
