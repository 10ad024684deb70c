#include "core/slot_window_p.h"
#include "dispatcher_fixture.h"

#include <catch2/catch.hpp>
#include <map>

using namespace tarragonbridge;

namespace {
constexpr resources Ample{64, 65'536, 0};

/// Two targets with a slot each; t0 runs four times as fast as t1.
struct speeds_fixture : dispatcher_fixture {
  speeds_fixture() {
    listTargets(2, 1, Ample);
    for (int Number = 0; Number < 60; ++Number) {
      // Four at a time keep both targets in use.
      for (const int Part : {0, 1, 2, 3}) {
        submit(4 * Number + Part, false);
      }
      while (!Running.empty() || !Started.empty()) {
        finishNext();
      }
    }
    Started.clear();
  }

  /// Lets the task that ends first end.
  void finishNext() {
    for (const start_task &Start : Started) {
      const milliseconds RunTime(Start.Target == "t0" ? 100 : 400);
      Running.emplace(Now.Boot + RunTime, Start);
    }
    Started.clear();
    const auto First = *Running.begin();
    Running.erase(Running.begin());
    const auto Wait = std::chrono::ceil<milliseconds>(First.first - Now.Boot);
    advance(std::max(Wait, milliseconds(0)));
    finish(First.second);
  }

  std::multimap<boot_time, start_task> Running;

  std::size_t startedAt(const std::string &Target) const {
    return std::count_if(
        Started.begin(), Started.end(),
        [&](const start_task &Start) { return Start.Target == Target; });
  }
};

hosts_listed twoForeign() {
  hosts_listed Event;
  for (const char *Name : {"t0", "t1"}) {
    host_entry Host;
    Host.Name = Name;
    Host.FailureDomain = "port-louis";
    Host.Slots = 4;
    Host.Capacity = Ample;
    Event.Hosts.push_back(Host);
  }
  return Event;
}
} // namespace

TEST_CASE_METHOD(speeds_fixture,
                 "the fast target is chosen, and waited for when that is "
                 "sooner") {
  submit(1'000, false);
  REQUIRE(Started.size() == 1);
  CHECK(startedAt("t0") == 1);
  submit(1'001, false);
  CHECK(Started.size() == 1); // waits 100 ms for t0, instead of 400 ms at t1
  advance(milliseconds(50));
  finish(start_task(Started[0]));
  CHECK(startedAt("t0") == 2);
}

TEST_CASE_METHOD(speeds_fixture,
                 "the slow target is used once the queue is long") {
  for (int Number = 1'000; Number < 1'008; ++Number) {
    submit(Number, false);
  }
  CHECK(startedAt("t0") == 1);
  CHECK(startedAt("t1") == 1);
}

TEST_CASE_METHOD(speeds_fixture, "a fast target that hangs is not waited for "
                                 "longer than the slow one takes") {
  submit(1'000, false);
  submit(1'001, false);
  advance(milliseconds(1'000));
  CHECK(startedAt("t1") == 1);
}

TEST_CASE("targets of another failure domain without a slot left are found "
          "again",
          "[placement]") {
  dispatcher_fixture Fixture;
  Fixture.apply(twoForeign());
  Fixture.submit(1, false);
  Fixture.submit(2, false);
  REQUIRE(Fixture.Started.size() == 2);
  for (const std::size_t Index : {0, 1}) {
    Fixture.reply(start_task(Fixture.Started[Index]), reply_kind::NotRun,
                  reason::TargetFull);
  }
  Fixture.advance(milliseconds(2'000));
  CHECK(Fixture.Started.size() == 4);
}

TEST_CASE("a window narrows on a refusal and widens by probes", "[placement]") {
  constexpr boot_time Start{milliseconds(1'000)};
  slot_window Window;
  Window.setShare(4);
  CHECK(Window.limit(Start) == 5);
  CHECK_FALSE(Window.onStart(4, Start));
  CHECK(Window.onStart(5, Start));
  CHECK(Window.limit(Start) == 4);
  Window.onFull(2, Start);
  CHECK(Window.limit(Start) == 2);
  CHECK(Window.limit(Start + milliseconds(100)) == 3);
  Window.onProbeTaken();
  CHECK(Window.limit(Start) == 3);
}
