/// Entries of the platform's store from another writer: unreadable, deeply
/// nested, or with values out of range. Such an entry names no target to use,
/// and the others hold.
#include "odd_entries.h"

#include "platform/wire.h"
#include "pool_simulation.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <limits>
#include <optional>
#include <sys/resource.h>
#include <unistd.h>

using namespace tarragonbridge;
using namespace std::chrono_literals;

namespace {
/// Lets this process allocate only a little more memory while it exists.
class memory_limit {
public:
  explicit memory_limit(std::size_t MoreBytes) {
    getrlimit(RLIMIT_AS, &Before);
    rlimit Limit = Before;
    Limit.rlim_cur = std::min(Before.rlim_cur, usedBytes() + MoreBytes);
    setrlimit(RLIMIT_AS, &Limit);
  }
  ~memory_limit() { setrlimit(RLIMIT_AS, &Before); }
  memory_limit(const memory_limit &) = delete;
  memory_limit &operator=(const memory_limit &) = delete;

private:
  static std::size_t usedBytes() {
    std::size_t Pages = 0;
    std::ifstream("/proc/self/statm") >> Pages;
    return Pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  }
  rlimit Before{};
};
} // namespace

// Such a host has 260 MB and was ended by the machine.
TEST_CASE("a target that claims endless capacity costs no memory", "[pool]") {
  const std::int64_t Claimed =
      GENERATE(1'000'000'000'000, std::numeric_limits<std::int64_t>::max());
  pool::simulation_init Init;
  Init.Hosts = 1;
  pool::pool_simulation World(Init);
  World.settle();
  World.submit(0, {"first"});
  World.runFor(500ms);
  pool::target_record Record = World.target(0).record("t0-0");
  Record.Capacity = {Claimed, Claimed, 0};
  constexpr std::size_t MoreBytes = 256U << 20U;
  const memory_limit Limit(MoreBytes);
  World.post(0, pool::targets_listed{false, {Record}, {}});
  const auto Request = World.submit(0, {"second"});
  World.runFor(500ms);
  CHECK(World.responseOf(Request) == pool::response_kind::JobDone);
}

namespace {
/// @returns the decoded target, nothing if it is refused
std::optional<pool::target_record> decodedTarget(const std::string &Key,
                                                 const std::string &Value) {
  std::optional<pool::target_record> Record;
  tryOr(
      [&]() -> result<bool> {
        BOOST_LEAF_AUTO(Target, platform::decodeTarget({Key, Value, 5, false}));
        Record = std::move(Target);
        return true;
      },
      [](const error &Error) {
        INFO(Error.Message);
        return false;
      });
  return Record;
}
} // namespace

TEST_CASE("a deeply nested value names no target", "[pool]") {
  const std::size_t Levels = GENERATE(32, 33, 10'000, 1'000'000);
  const std::string Value = GENERATE_COPY(
      nested(Levels), std::string(Levels, '['), nestedObjects(Levels),
      targetValue({{"labels", nested(Levels)}}),
      targetValue({{"unknown", nestedObjects(Levels)}}),
      targetValue({{"capacity", nestedObjects(Levels)}}));
  CAPTURE(Levels, Value.substr(0, 40));
  CHECK_FALSE(decodedTarget("servers/i-1", Value));
}

TEST_CASE("unknown members of a target are ignored", "[pool]") {
  const std::string Unknown =
      GENERATE(nested(31), std::string("1e300"), std::string("1e999"),
               std::string("-1"), std::string("18446744073709551616"),
               std::string("null"), '"' + std::string(900'000, 'x') + '"');
  const auto Record =
      decodedTarget("servers/i-1", targetValue({{"unknown", Unknown}}));
  REQUIRE(Record);
  CHECK(Record->Id == "i-1");
  CHECK(Record->Address == "10.1.1.1:80");
}

TEST_CASE("members that are missing, of another type or unreadable name no "
          "target",
          "[pool]") {
  const std::string Name = GENERATE(values<std::string>(
      {"service", "address", "zone", "state", "capacity", "labels"}));
  const std::string Text = GENERATE(
      values<std::string>({"", "null", "7", "{}", "true", "\"\\ud800\"",
                           "\"\xff\"", "\"\xc3\x28\"", "nul", "\"half"}));
  CAPTURE(Name, Text);
  // Zeros may be left out, so an empty object is a capacity of zero.
  const bool IsCapacity = Name == "capacity" && Text == "{}";
  CHECK(decodedTarget("servers/i-1", targetValue({{Name, Text}})).has_value() ==
        IsCapacity);
}

TEST_CASE("of a member that is there twice the last one counts", "[pool]") {
  std::string Value = targetValue({});
  Value.insert(Value.size() - 1, R"(,"service":"other")");
  const auto Record = decodedTarget("servers/i-1", Value);
  REQUIRE(Record);
  CHECK(Record->Service == "other");
}

TEST_CASE("a number out of range names no target", "[pool]") {
  const std::string Number = GENERATE(values<std::string>(
      {"1e999", "-1e999", "1e18", "1e300", "9223372036854775807",
       "9223372036854775808", "18446744073709551615", "18446744073709551616",
       "-1", "-9223372036854775808", "0.5", "1000000000000000", "NaN",
       "Infinity", "1e", "\"80\"", "true", "[]"}));
  const std::string Name = GENERATE(values<std::string>({"capacity", "born"}));
  const std::string Text = Name == "capacity" ? capacityOf(Number) : Number;
  CAPTURE(Name, Text);
  CHECK_FALSE(decodedTarget("servers/i-1", targetValue({{Name, Text}})));
}

TEST_CASE("the greatest plausible numbers name a target", "[pool]") {
  const auto Record = decodedTarget(
      "servers/i-1",
      targetValue({{"capacity", R"({"cpu":1000000,"memMb":16e6,"gpu":1024})"},
                   {"born", "4000000000000"},
                   {"remainingMs", "9223372036854775807"}}));
  REQUIRE(Record);
  CHECK(Record->Capacity ==
        pool::resource_vector{1'000'000, 16'000'000, 1'024});
}

TEST_CASE("an address that isn't IP and port names no target", "[pool]") {
  const std::string Address =
      GENERATE(values<std::string>({"",
                                    ":",
                                    ":80",
                                    "10.1.1.1",
                                    "10.1.1.1:",
                                    "10.1.1.1:0",
                                    "10.1.1.1:65536",
                                    "10.1.1.1:99999",
                                    "10.1.1.1:-1",
                                    "10.1.1.1:+80",
                                    "10.1.1.1: 80",
                                    "10.1.1.1:80 ",
                                    "10.1.1.1:80x",
                                    "10.1.1.1:8e1",
                                    "10.1.1.1:80/path",
                                    "10.1.1.1:80?a=b",
                                    "10.1.1.1:80#a",
                                    "10.1.1.1:80@10.9.9.9:1",
                                    "user@10.1.1.1:80",
                                    "http://10.1.1.1:80",
                                    "localhost:80",
                                    "host.example:80",
                                    "[::1]:80",
                                    "::1:80",
                                    "10.1.1:80",
                                    "10.1.1.256:80",
                                    "0.0.0.0:80",
                                    R"(10.1.1.1\r\nA: b:80)",
                                    R"(10.1.1.1\u0000x:80)",
                                    R"(10.1.1.1:80\u0000)",
                                    R"(10.1.1.1\t:80)",
                                    "184549377:80",
                                    "10.1.1.1:" + std::string(100'000, '8'),
                                    std::string(100'000, '1') + ":80"}));
  CAPTURE(Address.substr(0, 60));
  CHECK_FALSE(decodedTarget("servers/i-1",
                            targetValue({{"address", '"' + Address + '"'}})));
}

TEST_CASE("the first and the last port name a target", "[pool]") {
  const std::string Address =
      GENERATE(values<std::string>({"10.1.1.1:1", "127.0.0.1:65535"}));
  CHECK(decodedTarget("servers/i-1",
                      targetValue({{"address", '"' + Address + '"'}})));
}

// An id is sent as a header line, and in every datagram of the target's owner.
TEST_CASE("an id that can't be sent as a header names no target", "[pool]") {
  const std::string Id = GENERATE(values<std::string>(
      {"", " ", "a b", "a\r\nEvil: 1", "a\n", "a\tb", std::string("a\0b", 3),
       "\x7f", "\xff\xfe", "caf\xc3\xa9", "\xed\xa0\x80",
       std::string(201, 'a')}));
  CAPTURE(Id);
  CHECK_FALSE(decodedTarget("servers/" + Id, targetValue({})));
}

TEST_CASE("an id of odd but printable characters names a target", "[pool]") {
  const std::string Id = GENERATE(values<std::string>(
      {"i-1", "a/b", "a:b;c", R"("a\b")", "%00", std::string(192, 'a')}));
  const auto Record = decodedTarget("servers/" + Id, targetValue({}));
  REQUIRE(Record);
  CHECK(Record->Id == Id);
}

TEST_CASE("a key without the prefix of targets names none", "[pool]") {
  const std::string Key =
      GENERATE(values<std::string>({"", "s", "servers", "other/i-1"}));
  CHECK_FALSE(decodedTarget(Key, targetValue({})));
}

// The service stands in the state that its owner sends to all hosts. A datagram
// that is too large for UDP isn't sent, so the owner counted as failed.
TEST_CASE("a text that is too long for datagrams names no target", "[pool]") {
  const std::string Name =
      GENERATE(values<std::string>({"service", "zone", "labels"}));
  const std::size_t Length = GENERATE(1'000, 70'000, 900'000);
  const std::string Text = '"' + std::string(Length, 'x') + '"';
  CAPTURE(Name, Length);
  CHECK_FALSE(decodedTarget(
      "servers/i-1",
      targetValue({{Name, Name == "labels" ? "[" + Text + "]" : Text}})));
}

TEST_CASE("an odd item hides no other item of a list", "[pool]") {
  const std::string Odd = GENERATE(values<std::string>({
      "null",
      "7",
      "[]",
      "{}",
      "\"x\"",
      R"({"key":7,"value":"","revision":3})",
      R"({"key":"servers/odd"})",
      R"({"key":"servers/odd","value":7})",
      R"({"key":"servers/odd","value":"e30=","revision":-1.5})",
      R"({"key":"servers/odd","value":"e30=","revision":1e300})",
      R"({"key":"servers/odd","value":"e30=","revision":18446744073709551616})",
      R"({"key":"servers/odd","value":"e","revision":3})",
      R"({"key":"servers/odd","value":"=====","revision":3})",
      R"({"key":"servers/odd","value":"\u0000\u0000==","revision":3})",
      R"({"key":"servers/odd","removed":true})",
      R"({"key":"servers/\u0000\r\n","value":"e30=","revision":3})",
      R"({"key":"servers/\ud800","value":"e30=","revision":3})",
      R"({"key":"servers/\udc00x","value":"e30=","revision":3})",
      "{\"key\":\"servers/\xff\xfe\",\"value\":\"e30=\",\"revision\":3}",
      "{\"key\":\"servers/\xed\xa0\x80\",\"value\":\"e30=\",\"revision\":3}",
  }));
  const std::string List = GENERATE(values<std::string>({"items", "events"}));
  CAPTURE(Odd, List);
  const std::string Body =
      listText(List,
               {itemText(R"("servers/a")", "{}", 2), Odd,
                itemText(R"("servers/\u00e9\ud83d\ude00")", "{}", 4)},
               9);
  std::optional<platform::store_items> Items;
  tryOr(
      [&]() -> result<bool> {
        BOOST_LEAF_ASSIGN(Items, List == "items" ? platform::decodeRange(Body)
                                                 : platform::decodeWatch(Body));
        return true;
      },
      [](const error &Error) {
        UNSCOPED_INFO(Error.Message);
        return false;
      });
  REQUIRE(Items);
  CHECK(Items->Revision == 9);
  REQUIRE(Items->Items.size() >= 2);
  CHECK(Items->Items.front().Key == "servers/a");
  CHECK(Items->Items.back().Key == "servers/\xc3\xa9\xf0\x9f\x98\x80");
}

namespace {
bool namesMember(const std::string &Key, const std::string &Value) {
  return tryOr(
      [&]() -> result<bool> {
        BOOST_LEAF_CHECK(platform::decodeMember({Key, Value, 5, false}));
        return true;
      },
      [](const error &) { return false; });
}
} // namespace

// A host counts as failed for all that take a later process of it for alive.
TEST_CASE("an odd entry among the hosts names no host", "[pool]") {
  const std::string Key = "tarragonbridge/hosts/h2";
  REQUIRE(namesMember(Key, memberValue({})));
  const fields Odd = GENERATE(values<fields>(
      {{{"host", R"("h3")"}},
       {{"host", "7"}},
       {{"incarnation", "0"}},
       {{"incarnation", "-1"}},
       {{"incarnation", "9223372036854775807"}},
       {{"incarnation", "1e999"}},
       {{"incarnation", "0.5"}},
       {{"address", R"("10.1.1.2:99999")"}},
       {{"address", R"("")"}},
       {{"failure_domain", "null"}},
       {{"failure_domain", '"' + std::string(70'000, 'x') + '"'}},
       {{"unknown", nested(1'000'000)}}}));
  CAPTURE(Odd.begin()->first);
  CHECK_FALSE(namesMember(Key, memberValue(Odd)));
}
