#include "base/time_histograms.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>
#include <sstream>
#include <vector>

namespace tarragonbridge {

namespace {
namespace stats = boost::accumulators;

constexpr auto MetricCount = static_cast<std::size_t>(time_metric::Count);
constexpr std::array<std::string_view, MetricCount> MetricNames{
    "job_response_seconds", "task_queueing_seconds", "task_at_target_seconds"};

/// Upper bounds of the buckets, in seconds. Longer times are counted only in
/// the +Inf bucket.
const std::vector<double> BucketBounds{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4,
    0.6,   0.8,   1,     1.5,  2,    3,    5,   10,   30,  60};

auto makeBuckets() {
  std::vector<double> Edges{0};
  Edges.insert(Edges.end(), BucketBounds.begin(), BucketBounds.end());
  return boost::histogram::make_histogram(
      boost::histogram::axis::variable<>(Edges));
}

struct time_histogram {
  decltype(makeBuckets()) Buckets = makeBuckets();
  stats::accumulator_set<double,
                         stats::stats<stats::tag::count, stats::tag::sum>>
      Total;
};

void formatHistogram(std::ostream &Out, std::string_view Name,
                     const time_histogram &Histogram) {
  const std::string MetricName = "tarragonbridge_" + std::string(Name);
  Out << "# TYPE " << MetricName << " histogram\n";
  double CumulativeCount = 0;
  for (std::size_t Index = 0; Index < BucketBounds.size(); ++Index) {
    CumulativeCount += Histogram.Buckets.at(static_cast<int>(Index));
    Out << MetricName << "_bucket{le=\"" << BucketBounds[Index] << "\"} "
        << CumulativeCount << '\n';
  }
  const auto Count = stats::count(Histogram.Total);
  Out << MetricName << "_bucket{le=\"+Inf\"} " << Count << '\n'
      << MetricName << "_sum " << stats::sum(Histogram.Total) << '\n'
      << MetricName << "_count " << Count << '\n';
}
} // namespace

struct time_histograms::histograms {
  std::array<time_histogram, MetricCount> Values;
};

time_histograms::time_histograms()
    : Histograms(std::make_unique<histograms>()) {}
time_histograms::~time_histograms() = default;

void time_histograms::add(const observe_time &Observation) {
  const std::chrono::duration<double> Seconds = Observation.Value;
  const std::lock_guard Lock(Mutex);
  time_histogram &Histogram =
      Histograms->Values.at(static_cast<std::size_t>(Observation.Metric));
  Histogram.Buckets(Seconds.count());
  Histogram.Total(Seconds.count());
}

std::string time_histograms::format() const {
  std::ostringstream Text;
  const std::lock_guard Lock(Mutex);
  for (std::size_t Index = 0; Index < MetricCount; ++Index) {
    formatHistogram(Text, MetricNames.at(Index), Histograms->Values.at(Index));
  }
  return Text.str();
}

} // namespace tarragonbridge
