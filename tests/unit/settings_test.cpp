#include "tarragonbridge/settings.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace tarragonbridge;

namespace {
using texts = std::vector<std::pair<std::string, std::string>>;

settings_snapshot makeSnapshot(const texts &Texts) {
  settings_snapshot Snapshot;
  std::int64_t Revision = 0;
  for (const auto &[Path, Text] : Texts) {
    Snapshot.Documents[Path] = {Path, {++Revision, {}, Text}, {}};
  }
  return Snapshot;
}

/// @returns the faults of a subtree, empty when there are none
std::string faultsOf(const texts &Around, std::string_view Path,
                     std::string_view Text) {
  return tryOr(
      [&]() -> result<std::string> {
        BOOST_LEAF_CHECK(checkSubtree(makeSnapshot(Around), Path, Text));
        return std::string();
      },
      [](const error &Error) { return Error.Message; });
}

const std::string Hash(64, 'a');
const std::string OtherHash(64, 'b');

std::string operatorsText(const std::string &Name, const std::string &Digits) {
  return R"({"operators":[{"name":")" + Name + R"(","token_sha256":")" +
         Digits + R"("}]})";
}

struct check_case {
  const char *Path;
  std::string Text;
  std::vector<std::string> Faults; ///< parts of the expected lines, in order
};
} // namespace

TEST_CASE("a subtree is checked whole, each fault with path and line") {
  const texts Around{{"", R"({"max_cores":40})"},
                     {"desk", R"({"max_running_tasks":100, "max_cores":50})"}};
  const auto Case = GENERATE_REF(values<check_case>({
      {"desk/night", "{} // inherits all", {}},
      {"desk/night", R"({"max_running_tasks":100, "urgency":9})", {}},
      {"other", R"({"max_running_tasks":500})", {}},
      {"desk/night",
       "{\n\"max_running_tasks\":101,\n\"max_cores\":41,\n\"colour\":\"red\"}",
       {"max_running_tasks (line 2): expected at most 100, the limit of desk",
        "max_cores (line 3): expected at most 40, the limit of the root",
        "colour (line 4): expected no such field"}},
      {"desk",
       "{\"urgency\":10,\n\"max_attempts\":0,\"retry_percent\":\"x\"}",
       {"urgency (line 1): expected an integer from 0 to 9",
        "max_attempts (line 2): expected an integer from 1 to 20",
        "retry_percent (line 2): expected an integer from 0 to 100"}},
      {"desk", R"({"max_running_tasks":1.5})", {"max_running_tasks (line 1)"}},
      {"desk", R"({"failure_domains":["a"]})", {"in the root only"}},
      {"", R"({"failure_domains":["a","a"]})", {"failure_domains (line 1)"}},
      {"", R"({"failure_domains":["A b"]})", {"failure_domains (line 1)"}},
      {"", R"({"operators":[]})", {"operators (line 1): expected a list of 1"}},
      {"", operatorsText("ann", "12"), {"operators[0].token_sha256 (line 1)"}},
      {"desk", operatorsText("ann", Hash), {"operators in the root first"}},
      {"desk", "{\"urgency\":1,\"urgency\":2}", {"Duplicate key"}},
      {"desk", "{\"urgency\":", {"Line 1"}},
      {"Desk", "{}", {"path: expected names"}},
      {"desk//a", "{}", {"path: expected names"}},
      {"/desk", "{}", {"path: expected names"}},
      {"desk/", "{}", {"path: expected names"}},
  }));
  CAPTURE(Case.Path, Case.Text);
  const std::string Faults = faultsOf(Around, Case.Path, Case.Text);
  CAPTURE(Faults);
  CHECK(Faults.empty() == Case.Faults.empty());
  std::size_t At = 0;
  for (const std::string &Fault : Case.Faults) {
    At = Faults.find(Fault, At);
    CHECK(At != std::string::npos);
  }
}

TEST_CASE("the root names operators while any subtree does") {
  const texts Around{{"", operatorsText("ann", Hash)},
                     {"desk", operatorsText("bob", OtherHash)}};
  CHECK(faultsOf(Around, "", "{}").find("operators: expected a list") == 0);
  CHECK(faultsOf({Around[0]}, "", "{}").empty());
}

namespace {
struct effective_case {
  const char *Path;
  std::size_t Field; ///< index into settingsFields()
  std::uint64_t Value;
  std::optional<std::string> Origin;
};
} // namespace

TEST_CASE("values are inherited, and limits never exceed the parent's") {
  const settings_snapshot Snapshot = makeSnapshot(
      {{"", R"({"max_running_tasks":50, "urgency":3})"},
       {"desk", R"({"max_running_tasks":80, "max_attempts":2})"},
       {"desk/day/late", R"({"max_running_tasks":20, "urgency":7})"}});
  const auto Case = GENERATE(values<effective_case>({
      {"desk", 0, 50, ""}, // as after a race between two edits
      {"desk/day", 0, 50, ""},
      {"desk/day/late", 0, 20, "desk/day/late"},
      {"other", 0, 50, ""},
      {"desk", 7, 3, ""},
      {"desk/day/late", 7, 7, "desk/day/late"},
      {"desk/day/late", 8, 2, "desk"},
      {"desk", 1, 0, std::nullopt},
      {"desk", 10, 30'000, std::nullopt},
  }));
  CAPTURE(Case.Path, Case.Field);
  const effective_value Value =
      effectiveValues(Snapshot, Case.Path).at(Case.Field);
  CHECK(Value.Value == Case.Value);
  CHECK(Value.Origin == Case.Origin);
}

TEST_CASE("the tree holds each subtree as a team, and the default one") {
  const settings_tree Tree =
      buildSettings(makeSnapshot({{"", R"({"failure_domains":["a","b"]})"},
                                  {"desk", R"({"max_memory_mb":5})"},
                                  {"desk/day", R"({"retry_percent":7})"}}),
                    "own");
  CHECK(Tree.Revision == 3);
  CHECK(Tree.FailureDomains == std::vector<std::string>{"a", "b"});
  REQUIRE(Tree.Teams.size() == 3);
  CHECK(Tree.Teams.at("desk/day").Limits.MaxMemoryMb == 5);
  CHECK(Tree.Teams.at("desk/day").RetryPercent == 7);
  CHECK(Tree.Teams.contains("default"));
  CHECK(buildSettings({}, "own").FailureDomains ==
        std::vector<std::string>{"own"});
}

namespace {
struct access_case {
  const char *Path;
  std::string Token;
  std::optional<reason> Refusal;
  std::string Name;
};
} // namespace

TEST_CASE("the nearest subtree with operators decides who may edit") {
  const settings_snapshot Snapshot =
      makeSnapshot({{"", operatorsText("ann", Hash)},
                    {"desk", operatorsText("bob", OtherHash)},
                    {"desk/day", "{}"}});
  const auto Case = GENERATE_REF(values<access_case>({
      {"", Hash, {}, "ann"},
      {"new", Hash, {}, "ann"},
      {"desk", OtherHash, {}, "bob"},
      {"desk/day", OtherHash, {}, "bob"},
      {"desk", Hash, reason::Forbidden, ""},
      {"", OtherHash, reason::Forbidden, ""},
      {"desk", "", reason::Unauthorized, ""},
      {"", std::string(64, 'c'), reason::Unauthorized, ""},
  }));
  CAPTURE(Case.Path, Case.Token);
  std::string Name;
  const auto Refusal = tryOr(
      [&]() -> result<std::optional<reason>> {
        BOOST_LEAF_ASSIGN(Name, authorizeEdit(Snapshot, Case.Path, Case.Token));
        return std::optional<reason>();
      },
      [](const error &Error) { return std::optional(Error.Reason); });
  CHECK(Refusal == Case.Refusal);
  CHECK(Name == Case.Name);
}
