#include "tarragonbridge/dispatcher.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace tarragonbridge;

namespace {
settings_document makeDocument(std::string Path, std::int64_t Revision,
                               std::string Text) {
  return {std::move(Path), {Revision, {}, std::move(Text)}, {}};
}

/// A dispatcher and what it last put in force.
struct settings_fixture {
  dispatcher State = makeDispatcher({{"own", "h", 1}, "", 1});
  std::shared_ptr<const settings_snapshot> Applied =
      std::make_shared<settings_snapshot>();

  /// @returns whether anything was applied
  bool offer(settings_source Source,
             const std::vector<settings_document> &Documents,
             bool IsWhole = false) {
    settings_offered Event{Source, "peer", {}, IsWhole, {}};
    for (const settings_document &Document : Documents) {
      Event.Snapshot.Documents[Document.Path] = Document;
    }
    bool Changed = false;
    for (const effect &Effect : reduce(*State, Event, {})) {
      if (const auto *Change = std::get_if<settings_applied>(&Effect)) {
        Applied = Change->Snapshot;
        Changed = true;
      }
    }
    return Changed;
  }
  std::uint64_t count(reason Reason) const {
    return figures(*State).Reasons.get(Reason);
  }
  std::string textOf(const std::string &Path) const {
    return Applied->Documents.at(Path).Present.Text;
  }
};

struct offer_case {
  settings_source Source;
  std::int64_t Revision;
  const char *Text;
  bool Applies;
  std::optional<reason> Counted;
};
} // namespace

// Invariant: an accepted team setting never reverts.
TEST_CASE("only a higher revision without faults is applied") {
  using enum settings_source;
  const auto Case = GENERATE(values<offer_case>({
      {Store, 6, R"({"urgency":2})", true, {}},
      {Peer, 6, R"({"urgency":2})", true, {}},
      {Store, 5, R"({"urgency":1})", false, {}},
      {Store, 4, R"({"urgency":2})", false, reason::SettingsBehind},
      {Peer, 4, R"({"urgency":2})", false, {}},
      {Store, 5, R"({"urgency":2})", false, reason::SettingsConflict},
      {Peer, 5, R"({"urgency":2})", false, reason::SettingsConflict},
      {Store, 6, R"({"urgency":99})", false, reason::SettingsMalformed},
      {Peer, 6, "{", false, reason::SettingsMalformed},
  }));
  CAPTURE(Case.Revision, Case.Text);
  settings_fixture Host;
  REQUIRE(Host.offer(Store, {makeDocument("desk", 5, R"({"urgency":1})")}));
  const settings_document Offered =
      makeDocument("desk", Case.Revision, Case.Text);
  CHECK(Host.offer(Case.Source, {Offered}) == Case.Applies);
  CHECK(Host.textOf("desk") == (Case.Applies ? Case.Text : R"({"urgency":1})"));
  if (Case.Counted) {
    CHECK(Host.count(*Case.Counted) == 1);
  }
}

TEST_CASE("a store that lost subtrees is noticed once, until it has them") {
  settings_fixture Host;
  const settings_document Desk = makeDocument("desk", 5, "{}");
  const settings_document Root = makeDocument("", 2, "{}");
  Host.offer(settings_source::Store, {Root, Desk}, true);
  Host.offer(settings_source::Store, {Root}, true);
  Host.offer(settings_source::Store, {Root}, true);
  CHECK(Host.count(reason::SettingsBehind) == 1);
  CHECK(Host.Applied->Documents.contains("desk"));
  Host.offer(settings_source::Store, {Root, Desk}, true);
  Host.offer(settings_source::Store, {Root}, true);
  CHECK(Host.count(reason::SettingsBehind) == 2);
}

TEST_CASE("hosts without the store converge by what peers offer") {
  settings_fixture One;
  settings_fixture Two;
  One.offer(
      settings_source::Store,
      {makeDocument("", 1, "{}"), makeDocument("desk", 9, R"({"why":"x"})")});
  Two.offer(settings_source::Store, {makeDocument("desk", 4, "{} // old"),
                                     makeDocument("late", 3, "{}")});
  const auto Pull = [](settings_fixture &To, const settings_fixture &From) {
    const auto Sent =
        formatSnapshot(newerThan(*From.Applied, revisionsOf(*To.Applied)));
    const auto Received = tryOr([&] { return parseSnapshot(Sent); },
                                [](const error &Error) -> settings_snapshot {
                                  FAIL(Error.Message);
                                  return {};
                                });
    std::vector<settings_document> Documents;
    for (const auto &[Path, Document] : Received.Documents) {
      Documents.push_back(Document);
    }
    To.offer(settings_source::Peer, Documents);
    return Documents.size();
  };
  CHECK(Pull(Two, One) == 2);
  CHECK(Pull(One, Two) == 1);
  CHECK(Pull(One, Two) == 0);
  CHECK(digestOf(revisionsOf(*One.Applied)) ==
        digestOf(revisionsOf(*Two.Applied)));
  CHECK(Two.textOf("desk") == R"({"why":"x"})");
}

namespace {
struct snapshot_case {
  const char *Text;
  const char *Fault;
};
} // namespace

TEST_CASE("snapshots of peers are read strictly") {
  const auto [Text, Fault] = GENERATE(values<snapshot_case>({
      {"{", "Line 1"},
      {R"({})", "documents"},
      {R"({"documents":7})", "documents"},
      {R"({"documents":[7]})", "documents[0]"},
      {R"({"documents":[{"path":"a","text":"{}"}]})", "edit.revision"},
      {R"({"documents":[{"path":"A","text":"{}","edit":{"revision":1}}]})",
       "path"},
      {R"({"documents":[{"path":"a","edit":{"revision":1}}]})", "settings"},
      {R"({"documents":[],"more":1})", "more"},
  }));
  CAPTURE(Text);
  const std::string Faults = tryOr(
      [&, Text = Text]() -> result<std::string> {
        BOOST_LEAF_CHECK(parseSnapshot(Text));
        return std::string();
      },
      [](const error &Error) { return Error.Message; });
  CHECK(Faults.find(Fault) != std::string::npos);
}

TEST_CASE("stored documents keep comments, edits and a bounded history") {
  settings_document Document{"desk", {}, {}};
  const std::string Text = "// opening hours\n{\"urgency\":3} // end";
  for (int Edit = 1; Edit <= 30; ++Edit) {
    Document =
        nextVersion(Document, 4, {std::to_string(Edit), "ann", {}, "w"}, Text);
    Document = tryOr(
        [&] {
          return parseStoredDocument("desk", 4, formatStoredDocument(Document));
        },
        [](const error &Error) -> settings_document {
          FAIL(Error.Message);
          return {};
        });
  }
  CHECK(Document.Present.Revision == 34);
  CHECK(Document.Present.Text == Text);
  CHECK(Document.Present.Edit.Id == "30");
  REQUIRE(Document.History.size() == config::MaxSettingsHistory);
  CHECK(Document.History.front().Edit.Id == "29");
  Document.Present.Text.assign(config::MaxStoredBytes / 2, ' ');
  Document.History.front().Text.assign(config::MaxStoredBytes / 2, ' ');
  CHECK(formatStoredDocument(Document).size() < config::MaxStoredBytes);
}
