/// Strict decoding of the platform's settings, responses and bodies.
#include "platform/settings.h"
#include "platform/wire.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;
using namespace tarragonbridge::platform;

namespace {
/// @returns the error message of a decoder, empty if it succeeds
template <class Decode> std::string errorMessageOf(Decode &&Function) {
  return tryOr(
      [&]() -> result<std::string> {
        BOOST_LEAF_CHECK(Function());
        return std::string();
      },
      [](const error &Error) { return Error.Message; });
}

template <class Decode> auto valueOf(Decode &&Function) {
  std::optional<std::decay_t<decltype(Function().value())>> Value;
  tryOr(
      [&]() -> result<bool> {
        BOOST_LEAF_AUTO(Got, Function());
        Value = std::move(Got);
        return true;
      },
      [](const error &Error) {
        FAIL(Error.Message);
        return false;
      });
  return *Value;
}

constexpr const char *Settings = R"(nodeName=front-1
zone=port-louis
ipAddress=10.1.0.13
listenAddresses.front=10.1.0.13:8161
listenAddresses.ready=10.1.0.13:8167
listenAddresses.control=10.1.0.13:8166
internalPortRange=7720,7735
bounds.holdMaxMs=1000
bounds.graceS=6
platform.address=10.200.1.7:8169
a.new.field=anything
)";

constexpr const char *Target =
    R"({"service":"desk","address":"10.1.1.1:80","zone":"east","slots":8,)"
    R"("state":"ready","capacity":{"cpu":32000,"memMb":65536,"gpu":0},)"
    R"("labels":["a","r1"],"born":1700,"sequence":4,"unknown":[1]})";

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  Text.replace(Text.find(From), From.size(), To);
  return Text;
}
} // namespace

TEST_CASE("settings are parsed, and unknown ones ignored", "[pool]") {
  const process_settings Decoded =
      valueOf([] { return parseSettings(Settings); });
  CHECK(Decoded.Host == "front-1");
  CHECK(Decoded.FailureDomain == "port-louis");
  CHECK(Decoded.PeerPort == 7720);
  CHECK(Decoded.MaxLeaseTime == std::chrono::seconds(1));
  CHECK(Decoded.ShutdownTime == std::chrono::seconds(6));
}

TEST_CASE("limits of the process in its settings", "[pool]") {
  struct limit_case {
    std::string Lines;
    std::size_t Megabytes;
    std::size_t Descriptors;
    std::string ErrorMessage; ///< empty: the settings are valid
  };
  const auto Case = GENERATE(values<limit_case>({
      {"", 120, 3'000, ""},
      {"limits.memoryMb=0\n", 120, 3'000, ""},
      {"limits.memoryMb=260\nlimits.fileDescriptors=4100\n", 260, 4'100, ""},
      {"limits.memoryMb=19\n", 0, 0, "limits.memoryMb"},
      {"limits.memoryMb=99999999999999999999\n", 0, 0, "limits.memoryMb"},
      {"limits.fileDescriptors=many\n", 0, 0, "limits.fileDescriptors"},
  }));
  CAPTURE(Case.Lines);
  const std::string Text = Settings + Case.Lines;
  if (!Case.ErrorMessage.empty()) {
    CHECK_THAT(errorMessageOf([&] { return parseSettings(Text); }),
               Catch::Contains(Case.ErrorMessage));
    return;
  }
  const process_settings Decoded = valueOf([&] { return parseSettings(Text); });
  CHECK(Decoded.MemoryBytes == Case.Megabytes << 20U);
  CHECK(Decoded.FileDescriptors == Case.Descriptors);
}

TEST_CASE("one error lists all faults of the settings", "[pool]") {
  const std::string ErrorMessage =
      errorMessageOf([] { return parseSettings("bounds.graceS=soon\n"); });
  for (const char *Name : {"nodeName", "zone", "ipAddress", "graceS",
                           "internalPortRange", "platform.address"}) {
    CHECK_THAT(ErrorMessage, Catch::Contains(Name));
  }
}

TEST_CASE("invalid items of targets are rejected", "[pool]") {
  struct item_case {
    std::string Value;
    std::string ErrorMessage; ///< empty: the item is valid
  };
  const auto Case = GENERATE(values<item_case>({
      {Target, ""},
      {"\xff\xfe", "not JSON"},
      {"[]", "not an object"},
      {"{}", "service"},
      {replaced(Target, R"("ready")", R"("asleep")"), "state"},
      {replaced(Target, R"("ready")", "7"), "state"},
      {replaced(Target, R"("10.1.1.1:80")", "80"), "address"},
      {replaced(Target, "32000", R"("many")"), "cpu"},
      {replaced(Target, "32000", "-1"), "cpu"},
      {replaced(Target, "32000", "1.5"), "cpu"},
      {replaced(Target, R"("born":1700)", R"("born":true)"), "born"},
      {replaced(Target, R"(["a","r1"])", "null"), "labels"},
      {replaced(Target, R"("born":1700)", R"("born":1700,"coldMs":12.5)"), ""},
      {replaced(Target, R"("born":1700)", R"("born":1700,"coldMs":-1)"), ""},
      {replaced(Target, R"("born":1700)", R"("born":1700,"coldMs":"x")"),
       "coldMs"},
  }));
  INFO(Case.Value);
  const store_item Item{"servers/i-1", Case.Value, 5, false};
  CHECK_THAT(errorMessageOf([&] { return decodeTarget(Item); }),
             Catch::Contains(Case.ErrorMessage));
  if (Case.ErrorMessage.empty()) {
    const pool::target_record Decoded =
        valueOf([&] { return decodeTarget(Item); });
    CHECK(Decoded.Id == "i-1");
    CHECK(Decoded.Kind == "a");
    CHECK(Decoded.Capacity.CpuMilli == 32'000);
    CHECK(Decoded.Incarnation == 1'700);
  }
}

namespace {
std::string repeated(std::string_view Text, std::size_t Count) {
  std::string Repeated;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Repeated += Text;
  }
  return Repeated;
}
} // namespace

TEST_CASE("invalid jobs are rejected, and unsupported ones recognised",
          "[pool]") {
  struct job_case {
    std::string Body;
    std::string ErrorMessage;
    bool IsSupported;
  };
  const auto Case = GENERATE(values<job_case>({
      {R"({"specification":"s","bestEffort":true,"steps":[{"count":2,"cpu":5}]})",
       "", true},
      {R"({"specification":"s","steps":[{"count":2}]})", "", false},
      {R"({"specification":"s","bestEffort":true,"steps":[{"count":2,"gang":true}]})",
       "", false},
      {R"({"specification":"s","bestEffort":true,"steps":[{"count":1},{"count":1,"after":[0]}]})",
       "", false},
      {R"({"specification":"s","bestEffort":true,"repetitions":3,"steps":[{"count":1}]})",
       "", false},
      {R"({"specification":"s","bestEffort":true,"steps":[{"count":2,"affinity":"r1"}]})",
       "", true},
      {R"({"specification":"s","bestEffort":true,"steps":[{"count":0}]})",
       "count", false},
      {R"({"specification":"s","bestEffort":true,"steps":[{"count":"2"}]})",
       "count", false},
      {R"({"specification":7,"bestEffort":true,"steps":[]})", "specification",
       false},
      {R"({"specification":"s","bestEffort":true})", "steps", false},
      {R"({"specification":"s","bestEffort":true,"steps":[5]})", "", false},
      {R"({"specification":"s","bestEffort":true,"steps":[)" +
           repeated(R"({"count":1},)", 1'001) + "5]}",
       "", true}, // refused for its number of tasks
      {R"({"specification":"s","bestEffort":true,"steps":[)" +
           repeated(R"({"count":1},)", 30'001) + "5]}",
       "too many values", false},
      {R"({"specification":")" + std::string(4'000, ',') +
           R"(","bestEffort":true,"steps":[{"count":1}]})",
       "", true},
      {"{", "not JSON", false},
      {"", "not JSON", false},
  }));
  INFO(Case.Body);
  const std::string ErrorMessage =
      errorMessageOf([&] { return decodeJob(Case.Body); });
  CHECK_THAT(ErrorMessage, Catch::Contains(Case.ErrorMessage));
  if (ErrorMessage.empty()) {
    CHECK(valueOf([&] {
            return decodeJob(Case.Body);
          }).UnsupportedFeature.empty() == Case.IsSupported);
  }
}

TEST_CASE("responses of targets are mapped to outcomes", "[pool]") {
  using pool::command_outcome;
  struct target_response_case {
    http_response Response;
    command_outcome Outcome;
  };
  const auto Case = GENERATE(values<target_response_case>({
      {{200, R"({"clockMs":5,"born":1,"running":[],"ended":[]})"},
       command_outcome::Accepted},
      {{409, R"({"clockMs":5,"reason":"fence"})"}, command_outcome::Fenced},
      {{409, R"({"clockMs":5,"reason":"old"})"}, command_outcome::OldRun},
      {{409, R"({"clockMs":5,"reason":"late"})"}, command_outcome::TooLate},
      {{409, R"({"clockMs":5,"reason":"room"})"}, command_outcome::NoRoom},
      {{409, R"({"clockMs":5})"}, command_outcome::NoAnswer},
      {{200, "half of a bo"}, command_outcome::NoAnswer},
      {{200, R"({"clockMs":5,"running":[["x"]],"ended":[]})"},
       command_outcome::NoAnswer},
      {{421, ""}, command_outcome::OtherIncarnation},
      {{503, ""}, command_outcome::Unhealthy},
      {{400, ""}, command_outcome::Rejected},
      {{404, ""}, command_outcome::NoAnswer},
      {{500, ""}, command_outcome::NoAnswer},
      {{502, ""}, command_outcome::NoAnswer},
      {{0, "", true}, command_outcome::NoAnswer},
      {{0, "", false}, command_outcome::NotSent},
      {{200, R"({"clockMs":5,"born":1,"running":[],"ended":[]})", true, true},
       command_outcome::Accepted},
      {{409, R"({"clockMs":5,"reason":"fence"})", true, true},
       command_outcome::NoAnswer},
      {{409, R"({"clockMs":5,"reason":"late"})", true, true},
       command_outcome::NoAnswer},
      {{421, "", true, true}, command_outcome::OtherIncarnation},
      {{503, "", true, true}, command_outcome::NoAnswer},
  }));
  INFO(Case.Response.Status << " " << Case.Response.Body);
  CHECK(decodeRenewal({}, Case.Response).Outcome == Case.Outcome);
}

TEST_CASE("a target's listing of running and ended attempts is decoded",
          "[pool]") {
  const pool::renewal_response Renewal =
      decodeRenewal({}, {200, R"({"clockMs":482113,"born":9,)"
                              R"("running":[["5c0e.0.1.17",2,"",41,3]],)"
                              R"("ended":[[58,"5c0e.0.1.9",1,"done",""],)"
                              R"([59,"5c0e.0.1.8",1,"lapsed",""]]})"});
  REQUIRE(Renewal.Running.size() == 1);
  CHECK(Renewal.Running[0] == pool::attempt_ref{"5c0e", 1, 17, 2});
  REQUIRE(Renewal.Outcomes.size() == 2);
  CHECK(Renewal.Outcomes[0].Number == 58);
  CHECK(Renewal.Outcomes[0].Outcome == pool::attempt_outcome::Done);
  CHECK(Renewal.Outcomes[1].Outcome == pool::attempt_outcome::Lost);
  CHECK(Renewal.Incarnation == 9);
}

TEST_CASE("each kind of response has its HTTP status", "[pool]") {
  using pool::response_kind;
  struct response_case {
    response_kind Kind;
    int Status;
  };
  const auto Case = GENERATE(values<response_case>({
      {response_kind::JobDone, 200},
      {response_kind::JobFailed, 200},
      {response_kind::JobAbandoned, 504},
      {response_kind::Overloaded, 429},
      {response_kind::NotConfigured, 503},
      {response_kind::Unsupported, 503},
      {response_kind::ShuttingDown, 503},
      {response_kind::NoRoute, 404},
      {response_kind::UnknownJob, 410},
      {response_kind::Malformed, 400},
      {response_kind::Ready, 200},
      {response_kind::NotReady, 503},
  }));
  CHECK(encodeCallerResponse({request_handle{1}, Case.Kind}).Status ==
        Case.Status);
  const caller_response WithRetryAfter = encodeCallerResponse(
      {request_handle{1}, Case.Kind, milliseconds(1'200), 0, false});
  REQUIRE(WithRetryAfter.Headers.size() == 1);
  CHECK(WithRetryAfter.Headers[0] ==
        std::pair<std::string, std::string>{"Retry-After", "2"});
}

TEST_CASE("an invalid item doesn't invalidate the others of a range",
          "[pool]") {
  const store_items Items = valueOf([] {
    return decodeRange(
        R"({"items":[{"key":"servers/a","value":"!!","revision":3},)"
        R"({"key":"servers/b","value":"e30=","revision":4},7],)"
        R"("truncated":true,"at":9})");
  });
  CHECK(Items.Revision == 9);
  CHECK(Items.IsTruncated);
  REQUIRE(Items.Items.size() == 2);
  CHECK(Items.Items[0].Value.empty());
  CHECK(Items.Items[1].Value == "{}");
}

TEST_CASE("items of a target that differ in clock and sequence are equivalent",
          "[pool]") {
  struct item_case {
    std::string Entry;
    std::string Other;
    bool IsEquivalent;
  };
  const auto Case = GENERATE(values<item_case>({
      {R"({"born":1,"sequence":7,"state":"ready"})",
       R"({"born":1,"sequence":18,"state":"ready"})", true},
      {R"({"born":1,"sequence":7})", R"({"born":1,"sequence": 8})", true},
      {R"({"clockMs":482113,"sequence":4})",
       R"({"clockMs":1482613,"sequence":5})", true},
      {R"({"clockMs":48,"born":3,"sequence":4})",
       R"({"clockMs":49,"born":4,"sequence":5})", false},
      {R"({"born":1,"sequence":7,"state":"ready"})",
       R"({"born":1,"sequence":7,"state":"draining"})", false},
      {R"({"born":1,"sequence":7})", R"({"born":2,"sequence":7})", false},
      {R"({"born":1,"sequence":7})", R"({"born":1,"sequence":)", false},
      {R"({"born":1})", R"({"born":1})", true},
      {R"({"born":1})", R"({"born":1,"sequence":7})", false},
      {R"({"sequence":7,"sequence":8})", R"({"sequence":7,"sequence":9})",
       false},
      {"", "", true},
  }));
  CAPTURE(Case.Entry, Case.Other);
  CHECK(isEquivalentTarget(Case.Entry, Case.Other) == Case.IsEquivalent);
  CHECK(isEquivalentTarget(Case.Other, Case.Entry) == Case.IsEquivalent);
}
