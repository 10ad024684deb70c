#include "core/peer_codec_p.h"
#include "net/peer_rpc.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;

namespace {
const host_identity One{"curepipe", "cp-1", 0xfedcba9876543210};
const host_identity Two{"curepipe", "cp-2", 2};

/// @returns whether a text is read as a value, and as which one
template <class T>
std::optional<T> parsed(result<T> (&Parse)(std::string_view),
                        std::string_view Text) {
  return tryOr(
      [&]() -> result<std::optional<T>> {
        BOOST_LEAF_AUTO(Value, Parse(Text));
        return std::optional<T>(std::move(Value));
      },
      [](const error &) { return std::optional<T>(); });
}
} // namespace

TEST_CASE("messages between hosts are read as they were written") {
  const claims_message Claims{{One, Two},
                              {{claim_mode::Grant, "s1.a.b.1.1.1", ~0ULL,
                                wall_time(milliseconds(7)), 3},
                               {claim_mode::Release, "k", 0, {}, 4}}};
  CHECK(parsed(parseClaimsMessage, write(Claims)) == Claims);
  const claims_result Answers{
      Two,
      {{3, claim_outcome::Held, One, {}, false},
       {4, claim_outcome::Refused, {}, reason::ClaimsFull, true},
       {5, claim_outcome::Granted, {}, {}, false}}};
  const auto Read = parsed(parseClaimsResult, write(Answers));
  REQUIRE(Read);
  CHECK(Read->Answers.at(0).Holder == One);
  CHECK(Read->Answers.at(1) == Answers.Answers[1]);
  CHECK(Read->Answers.at(2).Outcome == claim_outcome::Granted);
  const fetch_message Fetch{
      {One, Two}, {"k", wall_time(milliseconds(9)), milliseconds(5), true}};
  CHECK(parsed(parseFetchMessage, write(Fetch)) == Fetch);
  const fetch_result Fetched{Two, {fetch_state::Running, 200, "{\"a\":1}"}};
  CHECK(parsed(parseFetchResult, write(Fetched)) == Fetched);
  const heartbeat_message Beat{{One, Two}, {1, 2, 3, 4, true}};
  CHECK(parsed(parseHeartbeat, write(Beat)) == Beat);
}

TEST_CASE("a malformed claim is refused whole") {
  const std::string Row = GENERATE(values<std::string>({
      R"([])",
      R"(["grant","k","1",1])",
      R"(["take","k","1",1,1])",
      R"(["grant","k y","1",1,1])",
      R"(["grant","","1",1,1])",
      R"(["grant","k","x",1,1])",
      R"(["grant","k","10000000000000000",1,1])",
      R"(["grant","k",1,1,1])",
      R"(["grant","k","1",-1,1])",
      R"(["grant","k","1",1.5,1])",
      R"(["grant","k","1",1,1e300])",
      R"({"mode":"grant"})",
  }));
  CAPTURE(Row);
  const std::string Start =
      R"({"from":"a.b.1","to":"a.c.2","claims":[["find","k","0",0,1],)";
  CHECK_FALSE(parsed(parseClaimsMessage, Start + Row + "]}"));
  CHECK(parsed(parseClaimsMessage, Start + R"(["find","k","0",0,2]]})"));
}

TEST_CASE("calls of peers are checked against their methods") {
  rpc_server Server({{"claim", {{"from", rpc_type::Text}}}});
  const std::string Call = writeRpcCall("claim", R"({"from":"a"})");
  REQUIRE(Server.read(Call).Method == "claim");
  std::string Result;
  std::string Error;
  REQUIRE(readRpcReply(Server.answer(Call, R"({"n":1})"), Result, Error));
  CHECK(Result == R"({"n":1})");
  const std::string Bad = GENERATE_COPY(values<std::string>({
      "",
      "[]",
      "{}",
      std::string(5'000, '['),
      writeRpcCall("grab", R"({"from":"a"})"),
      writeRpcCall("claim", R"({"from":1})"),
      writeRpcCall("claim", R"({})"),
      R"({"jsonrpc":"2.0","method":"claim","params":{"from":"a"}})",
  }));
  CAPTURE(Bad);
  const rpc_call Refused = Server.read(Bad);
  CHECK(Refused.Method.empty());
  CHECK_FALSE(readRpcReply(Refused.ErrorReply, Result, Error));
}
