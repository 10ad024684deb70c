#include "tarragonbridge/job.h"
#include "tarragonbridge/target.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;

namespace {
/// @returns the reason of a refused body, nothing when it is accepted
std::optional<reason> refusalOf(std::string_view Body) {
  return tryOr(
      [&]() -> result<std::optional<reason>> {
        BOOST_LEAF_CHECK(parseJobRequest(Body, ""));
        return std::optional<reason>();
      },
      [](const error &Error) { return std::optional(Error.Reason); });
}

struct body_case {
  const char *Body;
  std::optional<reason> Refusal;
};
} // namespace

TEST_CASE("job bodies are read strictly") {
  const auto [Body, Refusal] = GENERATE(values<body_case>({
      {R"({"key":"a","team":"t","submitted_at_ms":1,"tasks":[{"payload":null}]})",
       {}},
      {R"({"key":"a","team":"t","submitted_at_ms":1,"tasks":[]})",
       reason::Malformed},
      {R"({"key":"a","team":"t","submitted_at_ms":1})", reason::Malformed},
      {R"({"key":"a","team":"t","submitted_at_ms":-1,"tasks":[{"payload":1}]})",
       reason::Malformed},
      {R"({"key":"a b","team":"t","submitted_at_ms":1,"tasks":[{"payload":1}]})",
       reason::Malformed},
      {R"({"key":"s1.a","team":"t","submitted_at_ms":1,"tasks":[{"payload":1}]})",
       reason::Malformed},
      {R"({"key":"a","key":"a","team":"t","submitted_at_ms":1,"tasks":[{"payload":1}]})",
       reason::Malformed},
      {R"({"team":"t","submitted_at_ms":1,"tasks":[{"payload":1}]})",
       reason::MissingKey},
      {R"({"key":"a","team":"t","submitted_at_ms":1.5,"tasks":[{"payload":1}]})",
       reason::Malformed},
      {R"({"key":"a","team":7,"submitted_at_ms":1,"tasks":[{"payload":1}]})",
       reason::Malformed},
      {"[1,2", reason::Malformed},
      {"", reason::Malformed},
  }));
  CAPTURE(Body);
  CHECK(refusalOf(Body) == Refusal);
}

TEST_CASE("a session key names its home") {
  const session_home Home{"curepipe", "cp-1", 0xabcdef};
  CHECK(parseSessionHome(formatSession(Home, 3) + ".1") == Home);
  CHECK_FALSE(parseSessionHome(formatSession(Home, 3)));
  CHECK_FALSE(parseSessionHome("s1.curepipe.cp-1.xyz.3.1"));
}

namespace {
struct reply_case {
  int Status;
  const char *Body;
  reply_kind Kind;
};
} // namespace

TEST_CASE("only a proved refusal counts as not run") {
  const auto [Status, Body, Kind] = GENERATE(values<reply_case>({
      {200, R"({"task":"k#0","attempt":1,"state":"done","output":7})",
       reply_kind::Done},
      {200, R"({"task":"k#0","attempt":1,"state":"failed","error":"e"})",
       reply_kind::Failed},
      {200, R"({"task":"k#1","attempt":1,"state":"done","output":7})",
       reply_kind::Unknown},
      {200, R"({"task":"k#0","attempt":2,"state":"done","output":7})",
       reply_kind::Unknown},
      {200, R"({"task":"k#0","attempt":1,"state":"done"})",
       reply_kind::Unknown},
      {429, R"({"not_run":true,"reason":"full"})", reply_kind::NotRun},
      {429, R"({"not_run":false,"reason":"full"})", reply_kind::Unknown},
      {429, "busy", reply_kind::Unknown},
      {500, R"({"not_run":true,"reason":"full"})", reply_kind::Unknown},
      {503, R"({"not_run":true,"reason":"leaving"})", reply_kind::NotRun},
  }));
  CAPTURE(Status, Body);
  CHECK(parseTargetReply(Status, Body, "k#0", 1).Kind == Kind);
}
