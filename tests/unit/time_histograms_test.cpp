#include "base/time_histograms.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;
using namespace std::chrono_literals;

TEST_CASE("buckets count all times up to their bound", "[log]") {
  time_histograms Times;
  for (const microseconds Time :
       {microseconds(500), microseconds(150'000), microseconds(180'000),
        microseconds(90'000'000)}) {
    Times.add({time_metric::JobResponse, Time});
  }
  const std::string Text = Times.format();
  for (const char *Line :
       {"job_response_seconds_bucket{le=\"0.001\"} 1\n",
        "job_response_seconds_bucket{le=\"0.1\"} 1\n",
        "job_response_seconds_bucket{le=\"0.2\"} 3\n",
        "job_response_seconds_bucket{le=\"60\"} 3\n",
        "job_response_seconds_bucket{le=\"+Inf\"} 4\n",
        "job_response_seconds_count 4\n", "task_queueing_seconds_count 0\n"}) {
    CHECK_THAT(Text, Catch::Contains(Line));
  }
}
