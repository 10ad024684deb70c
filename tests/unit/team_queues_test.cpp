#include "tarragonbridge/team_queues.h"

#include <catch2/catch.hpp>
#include <map>

using namespace tarragonbridge;

namespace {
constexpr microseconds TaskTime = milliseconds(100);

/// Queues one job of the team.
void pushJob(team_queues &Queues, const std::string &Key, const char *Team,
             std::uint32_t Tasks, int Rank = 0) {
  Queues.push({Key, Team, boot_time(milliseconds(Rank)), Tasks,
               std::uint64_t{10} * Tasks});
}

/// Serves at most Count tasks and counts them by the first letter of the key.
std::map<char, int> serve(team_queues &Queues, int Count) {
  std::map<char, int> Served;
  Queues.serve([&](const std::string &Key, std::uint32_t /*Task*/) {
    if (Count-- <= 0) {
      return offer_result{offer_outcome::TeamBound, {}, 0};
    }
    ++Served[Key.front()];
    return offer_result{offer_outcome::Started, TaskTime, 10};
  });
  return Served;
}

struct urgency_case {
  std::uint32_t A;
  std::uint32_t B;
  int ServedA; ///< of 300 starts while both have a backlog
};
} // namespace

TEST_CASE("service doubles with each step of urgency and never ends") {
  const auto [A, B, ServedA] = GENERATE(values<urgency_case>({
      {5, 5, 150},
      {6, 5, 200},
      {7, 5, 240},
      {9, 1, 299},
  }));
  team_queues Queues;
  Queues.configure("a", A, {});
  Queues.configure("b", B, {});
  pushJob(Queues, "b1", "b", 1000);
  pushJob(Queues, "a1", "a", 1000);
  std::map<char, int> Served = serve(Queues, 300);
  CHECK(Served['a'] == Approx(ServedA).margin(1));
  CHECK(Served['b'] >= 1);
}

TEST_CASE("a burst delays its own team only") {
  team_queues Queues;
  Queues.configure("a", 5, {});
  Queues.configure("b", 5, {});
  pushJob(Queues, "a1", "a", 10'000);
  serve(Queues, 500);
  pushJob(Queues, "b1", "b", 3);
  std::map<char, int> Served = serve(Queues, 6);
  CHECK(Served['b'] == 3);
}

TEST_CASE("idle teams and teams at their limits save up no service") {
  const bool IsBound = GENERATE(false, true);
  team_queues Queues;
  Queues.configure("a", 5, {});
  Queues.configure("b", 5, {});
  pushJob(Queues, "a1", "a", 1000);
  if (IsBound) {
    pushJob(Queues, "b1", "b", 1000);
  }
  int Left = 400;
  Queues.serve([&](const std::string &Key, std::uint32_t /*Task*/) {
    const bool MayStart = Key == "a1" && Left-- > 0;
    return MayStart ? offer_result{offer_outcome::Started, TaskTime, 10}
                    : offer_result{offer_outcome::TeamBound, {}, 0};
  });
  if (!IsBound) {
    pushJob(Queues, "b1", "b", 1000);
  }
  CHECK(serve(Queues, 100)['b'] == Approx(50).margin(1));
}

TEST_CASE("a team that declares short run times is charged for long ones") {
  team_queues Queues;
  Queues.configure("a", 5, {});
  Queues.configure("b", 5, {});
  pushJob(Queues, "a1", "a", 1000);
  pushJob(Queues, "b1", "b", 1000);
  std::map<char, int> Served;
  for (int Round = 0; Round < 110; ++Round) {
    for (const auto &[Name, Count] : serve(Queues, 1)) {
      Served[Name] += Count;
      const auto Used = Name == 'a' ? 10 * TaskTime : TaskTime;
      Queues.settle(std::string(1, Name), TaskTime, Used);
    }
  }
  CHECK(Served['a'] == Approx(10).margin(1));
}

TEST_CASE("jobs of a team go by rank, and a task without a target is passed") {
  team_queues Queues;
  pushJob(Queues, "late", "a", 1, 30);
  pushJob(Queues, "early", "a", 2, 10);
  pushJob(Queues, "between", "a", 1, 20);
  std::vector<std::string> Order;
  Queues.serve([&](const std::string &Key, std::uint32_t /*Task*/) {
    if (Key == "between") {
      return offer_result{offer_outcome::NoTarget, {}, 0};
    }
    Order.push_back(Key);
    return offer_result{offer_outcome::Started, TaskTime, 10};
  });
  CHECK(Order == std::vector<std::string>{"early", "early", "late"});
  CHECK(Queues.size("a").Tasks == 1);
}

TEST_CASE("a requeued task goes first and once") {
  team_queues Queues;
  pushJob(Queues, "a1", "a", 3);
  std::vector<std::uint32_t> Order;
  const auto Offer = [&](const std::string & /*Key*/, std::uint32_t Task) {
    Order.push_back(Task);
    return Order.size() % 2 == 1
               ? offer_result{offer_outcome::Started, TaskTime, 10}
               : offer_result{offer_outcome::TeamBound, {}, 0};
  };
  Queues.serve(Offer); // starts 0, is refused 1
  Queues.requeue({"a1", "a", boot_time(), 1, 10}, 0);
  Queues.serve(Offer); // starts 0 again, is refused 1
  CHECK(Order == std::vector<std::uint32_t>{0, 1, 0, 1});
  CHECK(Queues.size().Tasks == 2);
}

TEST_CASE("sizes and bounds hold through pushes, starts and cancellation") {
  team_queues Queues;
  Queues.configure("a", 5, {5, 50});
  CHECK(Queues.hasRoom("a", {5, 50}));
  CHECK_FALSE(Queues.hasRoom("a", {6, 1}));
  CHECK_FALSE(Queues.hasRoom("a", {1, 51}));
  pushJob(Queues, "a1", "a", 4);
  pushJob(Queues, "b1", "b", 2);
  serve(Queues, 2);
  CHECK_FALSE(Queues.hasRoom({5, 0}, {2, 0}));
  CHECK(Queues.hasRoom({5, 0}, {1, 0}));
  const queue_size Dropped = Queues.erase("a1");
  CHECK(Dropped.Tasks == 3);
  CHECK(Dropped.Bytes == 30);
  CHECK(Queues.erase("a1").Tasks == 0);
  CHECK(Queues.size("a").Bytes == 0);
  CHECK(Queues.size().Tasks == 1);
}

TEST_CASE("counters are right after a cancellation wave of 10,000 jobs") {
  team_queues Queues;
  for (int Job = 0; Job < 10'000; ++Job) {
    pushJob(Queues, std::to_string(Job), Job % 2 == 0 ? "a" : "b", 3);
  }
  for (int Job = 9'999; Job > 0; --Job) {
    Queues.erase(std::to_string(Job));
  }
  CHECK(Queues.size().Tasks == 3);
  CHECK(serve(Queues, 10)['0'] == 3);
  CHECK(Queues.size().Bytes == 0);
}

TEST_CASE("a job is offered while it is among the first of its team") {
  team_queues Queues;
  for (int Job = 0; Job < 10; ++Job) {
    pushJob(Queues, std::to_string(Job), "a", 1, Job);
  }
  CHECK(Queues.isOffered("7"));
  CHECK_FALSE(Queues.isOffered("8"));
  Queues.erase("3");
  CHECK(Queues.isOffered("8"));
  CHECK_FALSE(Queues.isOffered("3"));
}
