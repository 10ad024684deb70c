#include "load/limit.h"
#include "load/report.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;

namespace {
planned_job jobAt(int AtMs, const std::vector<int> &RunMs) {
  planned_job Job;
  Job.At = milliseconds(AtMs);
  for (const int Run : RunMs) {
    Job.Tasks.push_back({milliseconds(Run), {}});
  }
  return Job;
}

struct schedule_case {
  const char *Name;
  std::vector<target_shape> Targets;
  std::vector<planned_job> Jobs;
  std::vector<int> ResponsesMs;
};

const std::vector<schedule_case> &scheduleCases() {
  static const std::vector<schedule_case> Cases{
      {"one slot, one after another",
       {{1, 1}},
       {jobAt(0, {10, 20}), jobAt(5, {10})},
       {30, 35}},
      {"the fast slot is worth the wait",
       {{1, 1}, {4, 1}},
       {jobAt(0, {100, 100})},
       {50}},
      {"the slow slot is taken when it ends first",
       {{1, 1}, {2, 1}},
       {jobAt(0, {100, 100, 100})},
       {100}},
      {"the job with less work left goes first",
       {{1, 1}},
       {jobAt(0, {10}), jobAt(1, {50}), jobAt(2, {5})},
       {10, 64, 13}},
      {"a slot stands idle between arrivals",
       {{1, 2}},
       {jobAt(0, {10}), jobAt(100, {10})},
       {10, 10}},
  };
  return Cases;
}
} // namespace

TEST_CASE("the offline schedule of known run times") {
  const schedule_case &Case =
      scheduleCases()[GENERATE(range<std::size_t>(0, scheduleCases().size()))];
  CAPTURE(Case.Name);
  std::vector<microseconds> Expected;
  for (const int Response : Case.ResponsesMs) {
    Expected.emplace_back(milliseconds(Response));
  }
  CHECK(scheduleOffline(Case.Jobs, Case.Targets) == Expected);
}

TEST_CASE("arrivals offer the load that was asked for") {
  const char *Name = GENERATE("rates-desk", "ekslibris");
  arrivals_init Init;
  Init.Mix = *findMix(Name);
  Init.Targets = {{1, 8}, {4, 8}};
  Init.OfferedLoad = 0.8;
  Init.Length = milliseconds(10'000'000);
  double Work = 0;
  std::size_t MostTasks = 0;
  for (const planned_job &Job : planArrivals(Init)) {
    MostTasks = std::max(MostTasks, Job.Tasks.size());
    for (const planned_task &Task : Job.Tasks) {
      Work += static_cast<double>(Task.Run.count());
    }
  }
  CHECK(MostTasks <= Init.Mix.MostTasks);
  CHECK(Work / (10'000'000.0 * 40) == Approx(0.8).epsilon(0.05));
}

TEST_CASE("quantiles are those of the sample") {
  std::vector<double> Sample;
  for (int Value = 1; Value <= 1'000; ++Value) {
    Sample.push_back(Value);
  }
  const slowdown_figures Figures = summarize(Sample);
  CHECK(Figures.Mean == Approx(500.5));
  CHECK(Figures.P50 == Approx(500).margin(1));
  CHECK(Figures.P99 == Approx(990).margin(1));
}

TEST_CASE("wasted messages are counted by kind") {
  const metric_values Before =
      parseMetrics("tarragonbridge_reasons_total{kind=\"retry\",reason="
                   "\"target_full\"} 2\n");
  const metric_values After = parseMetrics(
      "# TYPE x counter\n"
      "tarragonbridge_reasons_total{kind=\"retry\",reason=\"target_full\"} 5\n"
      "tarragonbridge_reasons_total{kind=\"retry\",reason=\"target_lost\"} 1\n"
      "tarragonbridge_reasons_total{kind=\"ignored\",reason=\"late_reply\"} "
      "4\n");
  const wall_time At{};
  const message_counts Counts = countMessages({{At, "start", "a#0", 1, "t"},
                                               {At, "stopped", "a#0", 1, "t"},
                                               {At, "start", "a#0", 2, "t"}},
                                              Before, After);
  CHECK(Counts.Starts == 2);
  CHECK(Counts.StartedTasks == 1);
  const std::map<std::string, std::uint64_t> Wasted{{"repeated_start", 2},
                                                    {"stop", 2},
                                                    {"target_full", 6},
                                                    {"late_reply", 4}};
  CHECK(Counts.Wasted == Wasted);
}
