/// Which connections go when their requests hold too much.
#include "base/upload_budget.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace tarragonbridge;
using namespace std::chrono_literals;

namespace {
constexpr std::size_t Kib = 1'024;
constexpr upload_limits Limits{4, 100 * Kib, 100 * Kib};

/// What one connection does, at a time after the start.
struct upload {
  milliseconds At{};
  std::size_t Bytes = 0;
  bool IsComplete = false;
  milliseconds ProgressAt{}; ///< of the latest part; zero: of the only one
};

struct evict_case {
  std::string Name;
  std::vector<upload> Uploads;
  milliseconds At{};             ///< of the decision
  std::vector<std::size_t> Gone; ///< indices of uploads, in order
  eviction_reason Reason{};
};
} // namespace

TEST_CASE("connections that have to go") {
  using reason = eviction_reason;
  const auto Case = GENERATE(values<evict_case>({
      {"room for all", {{0ms, 90 * Kib}, {0ms, 8 * Kib}}, 100ms, {}, {}},
      {"no progress, the longest first",
       {{10ms, 60 * Kib}, {0ms, 60 * Kib}, {1'900ms, 60 * Kib}},
       2'000ms,
       {1, 0},
       reason::Stalled},
      {"the newest of those that go on",
       {{0ms, 60 * Kib}, {10ms, 60 * Kib}},
       500ms,
       {1},
       reason::Newest},
      {"small ones stay",
       {{0ms, 90 * Kib}, {10ms, 8 * Kib}, {20ms, 5 * Kib}, {5ms, 90 * Kib}},
       500ms,
       {3},
       reason::Newest},
      {"complete ones stay",
       {{0ms, 120 * Kib, true}, {10ms, 90 * Kib}, {20ms, 90 * Kib}},
       500ms,
       {2},
       reason::Newest},
      {"complete ones stay when connections are too many",
       {{0ms, 0, true}, {0ms, 0, true}, {0ms, 0, true}, {0ms, 0, true}, {9ms}},
       500ms,
       {4},
       reason::Connections},
      {"the longest without progress when connections are too many",
       {{5ms, 1}, {0ms, 1}, {900ms, 1}, {901ms, 1}, {902ms, 1}},
       1'100ms,
       {1},
       reason::Connections},
      {"of those that go on, one that began a while ago when connections are "
       "too many",
       {{0ms, 1, false, 1'900ms},
        {1ms, 1, false, 1'900ms},
        {2ms, 1, false, 1'900ms},
        {3ms, 1, false, 1'900ms},
        {1'950ms, 1}},
       2'000ms,
       {0},
       reason::Connections},
      {"a single body stays whatever the limit",
       {{0ms, 400 * Kib}},
       5s,
       {},
       {}},
      {"a request that takes too long",
       {{0ms, 1}, {1ms, 0, true}},
       30'001ms,
       {0},
       reason::TooSlow},
  }));
  CAPTURE(Case.Name);
  const boot_time Start{1h};
  upload_budget Budget(Limits);
  std::vector<connection_handle> Handles;
  for (const upload &Upload : Case.Uploads) {
    const boot_time At = Start + Upload.At;
    Handles.push_back(Budget.open(At));
    Budget.beginRequest(Handles.back(), At);
    Budget.setUnfinished(Handles.back(), Upload.Bytes,
                         std::max(At, Start + Upload.ProgressAt));
    if (Upload.IsComplete) {
      CHECK(Budget.complete(Handles.back()));
    }
  }
  const auto Evictions = Budget.evict(Start + Case.At);
  REQUIRE(Evictions.size() == Case.Gone.size());
  for (std::size_t Index = 0; Index < Case.Gone.size(); ++Index) {
    const connection_handle Gone = Handles.at(Case.Gone[Index]);
    CHECK(Evictions[Index].Connection == Gone);
    CHECK(Evictions[Index].Reason == Case.Reason);
    CHECK(Evictions[Index].HasRequest);
    CHECK_FALSE(Budget.complete(Gone)); // its client was told otherwise
  }
  for (const connection_handle Handle : Handles) {
    Budget.close(Handle);
  }
  CHECK(Budget.figures().UnfinishedBytes == 0);
  CHECK(Budget.figures().Connections == 0);
}

TEST_CASE("jobs are held up to the limit, small ones always") {
  upload_budget Budget(Limits);
  const auto Hold = [&](std::size_t Bytes) {
    const connection_handle Handle = Budget.open(boot_time{});
    Budget.beginRequest(Handle, boot_time{});
    CHECK(Budget.complete(Handle));
    const bool IsHeld = Budget.hold(Handle, Bytes);
    return std::pair(Handle, IsHeld);
  };
  const auto [First, IsFirstHeld] = Hold(100 * Kib);
  CHECK(IsFirstHeld);
  CHECK_FALSE(Hold(100 * Kib).second);
  CHECK(Hold(8 * Kib).second);
  CHECK_FALSE(Hold(900 * Kib).second);
  Budget.answer(First, 0, boot_time{});
  Budget.finish(First, boot_time{});
  CHECK(Hold(900 * Kib).second); // alone, apart from small ones
}

TEST_CASE("a response is cut off only if it isn't read") {
  const milliseconds Unread = GENERATE(500ms, 1'500ms);
  CAPTURE(Unread.count());
  upload_budget Budget(Limits);
  const boot_time Start{1h};
  for (int Index = 0; Index < 2; ++Index) {
    const connection_handle Handle = Budget.open(Start);
    Budget.beginRequest(Handle, Start);
    CHECK(Budget.complete(Handle));
    Budget.answer(Handle, 90 * Kib, Start);
  }
  CHECK(Budget.evict(Start + Unread).empty() == (Unread < 1s));
}

TEST_CASE("limits follow the memory and the descriptors of a process") {
  struct limits_case {
    std::size_t MemoryMb;
    std::size_t Descriptors;
    std::size_t MaxConnections;
  };
  const auto Case = GENERATE(values<limits_case>(
      {{120, 3'075, 1'280}, {512, 8'192, 3'996}, {24, 400, 100}}));
  CAPTURE(Case.MemoryMb);
  const std::size_t Memory = Case.MemoryMb << 20U;
  const process_upload_limits Both = makeUploadLimits(Memory, Case.Descriptors);
  CHECK(Both.Callers.MaxConnections == Case.MaxConnections);
  CHECK(Both.Callers.MaxConnections + Both.Internal.MaxConnections <
        Case.Descriptors);
  CHECK(Both.Internal.MaxUnfinishedBytes >= 256 * Kib);
}

// Guards against clients that connect again without pause: the newest
// connection would always be one that has had no time to send its request.
TEST_CASE("of connections without a request the first that came goes first") {
  struct newcomers_case {
    std::string Name;
    std::size_t WithRequest; ///< the first ones
    bool HasServed;          ///< requests of the others, which wait for more
    std::size_t Gone;
  };
  const auto Case = GENERATE(values<newcomers_case>({
      {"no one has sent a request", 0, false, 0},
      {"the others were served", 0, true, 0},
      {"some are sending theirs", 2, false, 2},
      {"all others are sending theirs", 4, false, 4},
  }));
  CAPTURE(Case.Name);
  upload_budget Budget(Limits);
  const boot_time Start{1h};
  std::vector<connection_handle> Handles;
  for (std::size_t Index = 0; Index < 5; ++Index) {
    const boot_time At = Start + milliseconds(Index);
    Handles.push_back(Budget.open(At));
    if (Index < Case.WithRequest) {
      Budget.beginRequest(Handles.back(), At);
    } else if (Case.HasServed && Index < 4) {
      Budget.beginRequest(Handles.back(), At);
      CHECK(Budget.complete(Handles.back()));
      Budget.finish(Handles.back(), At);
    }
  }
  const auto Evictions = Budget.evict(Start + 10ms);
  REQUIRE(Evictions.size() == 1);
  CHECK(Evictions.front().Connection == Handles.at(Case.Gone));
}
