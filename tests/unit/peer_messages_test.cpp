#include "core/peer_codec_p.h"
#include "net/peer_rpc.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;

namespace {
const host_identity FirstHost{"curepipe", "cp-1", 0xfedcba9876543210};
const host_identity SecondHost{"curepipe", "cp-2", 2};

/// @returns the parsed value, or nothing if the parser rejects the text
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

TEST_CASE("peer messages are parsed as they were written") {
  const claims_message Claims{{FirstHost, SecondHost},
                              {{claim_mode::Grant, "s1.a.b.1.1.1", ~0ULL,
                                wall_time(milliseconds(7)), 3},
                               {claim_mode::Release, "k", 0, {}, 4}}};
  CHECK(parsed(parseClaimsMessage, write(Claims)) == Claims);
  const claims_result ClaimsResult{
      SecondHost,
      {{3, claim_outcome::Held, FirstHost, {}, false},
       {4, claim_outcome::Refused, {}, reason::ClaimsFull, true},
       {5, claim_outcome::Granted, {}, {}, false}}};
  const auto ParsedResult = parsed(parseClaimsResult, write(ClaimsResult));
  REQUIRE(ParsedResult);
  CHECK(ParsedResult->Answers.at(0).Holder == FirstHost);
  CHECK(ParsedResult->Answers.at(1) == ClaimsResult.Answers[1]);
  CHECK(ParsedResult->Answers.at(2).Outcome == claim_outcome::Granted);
  const fetch_message Fetch{
      {FirstHost, SecondHost},
      {"k", wall_time(milliseconds(9)), milliseconds(5), true}};
  CHECK(parsed(parseFetchMessage, write(Fetch)) == Fetch);
  const fetch_result Fetched{SecondHost,
                             {fetch_state::Running, 200, "{\"a\":1}"}};
  CHECK(parsed(parseFetchResult, write(Fetched)) == Fetched);
  heartbeat_message Heartbeat{{FirstHost, SecondHost}, {1, 2, 3, 4, true, {}}};
  Heartbeat.Beat.Load = {
      5, {{"agents", {{1, 2, 3}, {4, 5, 6}, {}, {}, {7, 8, 9}}}}};
  CHECK(parsed(parseHeartbeat, write(Heartbeat)) == Heartbeat);
}

TEST_CASE("one malformed claim rejects the whole message") {
  const std::string MalformedClaim = GENERATE(values<std::string>({
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
  CAPTURE(MalformedClaim);
  const std::string MessagePrefix =
      R"({"from":"a.b.1","to":"a.c.2","claims":[["find","k","0",0,1],)";
  CHECK_FALSE(
      parsed(parseClaimsMessage, MessagePrefix + MalformedClaim + "]}"));
  CHECK(
      parsed(parseClaimsMessage, MessagePrefix + R"(["find","k","0",0,2]]})"));
}

TEST_CASE("RPC requests of peers are validated against their methods") {
  rpc_server Server({{"claim", {{"from", rpc_type::Text}}}});
  const std::string Request = writeRpcCall("claim", R"({"from":"a"})");
  REQUIRE(Server.read(Request).Method == "claim");
  std::string Result;
  std::string Error;
  REQUIRE(readRpcReply(Server.answer(Request, R"({"n":1})"), Result, Error));
  CHECK(Result == R"({"n":1})");
  const std::string MalformedRequest = GENERATE_COPY(values<std::string>({
      "",
      "[]",
      "{}",
      std::string(5'000, '['),
      writeRpcCall("grab", R"({"from":"a"})"),
      writeRpcCall("claim", R"({"from":1})"),
      writeRpcCall("claim", R"({})"),
      R"({"jsonrpc":"2.0","method":"claim","params":{"from":"a"}})",
  }));
  CAPTURE(MalformedRequest);
  const rpc_call Rejected = Server.read(MalformedRequest);
  CHECK(Rejected.Method.empty());
  CHECK_FALSE(readRpcReply(Rejected.ErrorReply, Result, Error));
}
