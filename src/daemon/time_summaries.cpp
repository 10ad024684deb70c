#include "daemon/time_summaries.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <sstream>

namespace tarragonbridge {

namespace {
namespace stats = boost::accumulators;

using summary =
    stats::accumulator_set<double,
                           stats::stats<stats::tag::count, stats::tag::sum,
                                        stats::tag::extended_p_square>>;

constexpr auto MetricCount = static_cast<std::size_t>(time_metric::Count);
constexpr std::array Quantiles{0.5, 0.9, 0.99};
constexpr std::array<std::string_view, MetricCount> Names{
    "job_response_seconds", "task_queueing_seconds", "task_at_target_seconds"};

summary makeSummary() {
  return summary(stats::extended_p_square_probabilities = Quantiles);
}

void formatSummary(std::ostream &Out, std::string_view Name,
                   const summary &Summary) {
  Out << "# TYPE tarragonbridge_" << Name << " summary\n";
  const auto Count = stats::count(Summary);
  for (std::size_t Index = 0; Count != 0 && Index < Quantiles.size(); ++Index) {
    Out << "tarragonbridge_" << Name << "{quantile=\"" << Quantiles.at(Index)
        << "\"} "
        << stats::extended_p_square(Summary)[static_cast<std::ptrdiff_t>(Index)]
        << '\n';
  }
  Out << "tarragonbridge_" << Name << "_sum " << stats::sum(Summary)
      << "\ntarragonbridge_" << Name << "_count " << Count << '\n';
}
} // namespace

struct time_summaries::summaries {
  std::array<summary, MetricCount> Values{makeSummary(), makeSummary(),
                                          makeSummary()};
};

time_summaries::time_summaries() : Summaries(std::make_unique<summaries>()) {}
time_summaries::~time_summaries() = default;

void time_summaries::add(const observe_time &Observation) {
  const std::chrono::duration<double> Seconds = Observation.Value;
  const std::lock_guard Lock(Mutex);
  Summaries->Values.at(static_cast<std::size_t>(Observation.Metric))(
      Seconds.count());
}

std::string time_summaries::format() const {
  std::ostringstream Text;
  const std::lock_guard Lock(Mutex);
  for (std::size_t Index = 0; Index < MetricCount; ++Index) {
    formatSummary(Text, Names.at(Index), Summaries->Values.at(Index));
  }
  return Text.str();
}

} // namespace tarragonbridge
