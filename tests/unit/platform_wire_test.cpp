/// The platform's settings, calls and bodies: decoded once, strictly.
#include "platform/settings.h"
#include "platform/wire.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;
using namespace tarragonbridge::platform;

namespace {
/// @returns the fault of a decoder, empty if it has none
template <class Decode> std::string faultOf(Decode &&Function) {
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

TEST_CASE("settings of a process are read, unknown ones ignored", "[pool]") {
  const process_settings Read = valueOf([] { return parseSettings(Settings); });
  CHECK(Read.Host == "front-1");
  CHECK(Read.FailureDomain == "port-louis");
  CHECK(Read.PeerPort == 7720);
  CHECK(Read.MaxLeaseTime == std::chrono::seconds(1));
  CHECK(Read.ShutdownTime == std::chrono::seconds(6));
}

TEST_CASE("every fault of the settings is told at once", "[pool]") {
  const std::string Fault =
      faultOf([] { return parseSettings("bounds.graceS=soon\n"); });
  for (const char *Name : {"nodeName", "zone", "ipAddress", "graceS",
                           "internalPortRange", "platform.address"}) {
    CHECK_THAT(Fault, Catch::Contains(Name));
  }
}

TEST_CASE("entries of targets that can't be used name no target", "[pool]") {
  struct entry_case {
    std::string Value;
    std::string Fault; ///< empty: a target
  };
  const auto Case = GENERATE(values<entry_case>({
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
  }));
  INFO(Case.Value);
  const store_item Item{"servers/i-1", Case.Value, 5, false};
  CHECK_THAT(faultOf([&] { return decodeTarget(Item); }),
             Catch::Contains(Case.Fault));
  if (Case.Fault.empty()) {
    const pool::target_record Read =
        valueOf([&] { return decodeTarget(Item); });
    CHECK(Read.Id == "i-1");
    CHECK(Read.Kind == "a");
    CHECK(Read.Capacity.CpuMilli == 32'000);
    CHECK(Read.Incarnation == 1'700);
  }
}

TEST_CASE("jobs are decoded whole or refused", "[pool]") {
  struct job_case {
    std::string Body;
    std::string Fault;
    bool IsServed;
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
      {"{", "not JSON", false},
      {"", "not JSON", false},
  }));
  INFO(Case.Body);
  const std::string Fault = faultOf([&] { return decodeJob(Case.Body); });
  CHECK_THAT(Fault, Catch::Contains(Case.Fault));
  if (Fault.empty()) {
    CHECK(valueOf([&] { return decodeJob(Case.Body); }).Unsupported.empty() ==
          Case.IsServed);
  }
}

TEST_CASE("answers of targets prove only what they say", "[pool]") {
  using pool::command_outcome;
  struct answer_case {
    http_response Answer;
    command_outcome Outcome;
  };
  const auto Case = GENERATE(values<answer_case>({
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
      {{0, "", true}, command_outcome::NoAnswer},
      {{0, "", false}, command_outcome::NotSent},
  }));
  INFO(Case.Answer.Status << " " << Case.Answer.Body);
  CHECK(decodeRenewal({}, Case.Answer).Outcome == Case.Outcome);
}

TEST_CASE("lists of a target are read row by row", "[pool]") {
  const pool::renewal_response Held =
      decodeRenewal({}, {200, R"({"clockMs":482113,"born":9,)"
                              R"("running":[["5c0e.0.1.17",2,"",41,3]],)"
                              R"("ended":[[58,"5c0e.0.1.9",1,"done",""],)"
                              R"([59,"5c0e.0.1.8",1,"lapsed",""]]})"});
  REQUIRE(Held.Running.size() == 1);
  CHECK(Held.Running[0] == pool::attempt_ref{"5c0e", 1, 17, 2});
  REQUIRE(Held.Outcomes.size() == 2);
  CHECK(Held.Outcomes[0].Number == 58);
  CHECK(Held.Outcomes[0].Outcome == pool::attempt_outcome::Done);
  CHECK(Held.Outcomes[1].Outcome == pool::attempt_outcome::Lost);
  CHECK(Held.Incarnation == 9);
}

TEST_CASE("callers get the status that is true", "[pool]") {
  using pool::response_kind;
  struct reply_case {
    response_kind Kind;
    int Status;
  };
  const auto Case = GENERATE(values<reply_case>({
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
  const caller_response Later = encodeCallerResponse(
      {request_handle{1}, Case.Kind, milliseconds(1'200), 0, false});
  REQUIRE(Later.Headers.size() == 1);
  CHECK(Later.Headers[0] ==
        std::pair<std::string, std::string>{"Retry-After", "2"});
}

TEST_CASE("one entry that can't be read doesn't spoil a range", "[pool]") {
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

TEST_CASE("entries of a target that differ in clock and count tell the same",
          "[pool]") {
  struct entry_case {
    std::string Entry;
    std::string Other;
    bool IsSame;
  };
  const auto Case = GENERATE(values<entry_case>({
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
  CHECK(isEquivalentTarget(Case.Entry, Case.Other) == Case.IsSame);
  CHECK(isEquivalentTarget(Case.Other, Case.Entry) == Case.IsSame);
}
