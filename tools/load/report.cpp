#include "load/report.h"

#include "load/limit.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <iomanip>
#include <numeric>
#include <ostream>

namespace tarragonbridge {

namespace {
constexpr int NameWidth = 28;
constexpr int Precision = 3;
constexpr double Median = 0.5;
constexpr double Percentile99 = 0.99;

double ratio(microseconds Response, microseconds Ideal) {
  return static_cast<double>(Response.count()) /
         static_cast<double>(std::max<std::int64_t>(1, Ideal.count()));
}

std::string labelOf(const job_outcome &Job) {
  const char *Prefix = Job.State == job_state::Failed    ? "failed: "
                       : Job.State == job_state::Refused ? "refused: "
                                                         : "unanswered: ";
  return Prefix + Job.Reason;
}

/// Compares each job with its ideal, as measured and as scheduled offline.
void addSlowdowns(const arrivals_init &Init,
                  const std::vector<planned_job> &Jobs,
                  const callers_outcome &Outcome, microseconds Trip,
                  run_figures &Figures) {
  const std::vector<microseconds> Limits = scheduleOffline(Jobs, Init.Targets);
  std::vector<double> Measured;
  std::vector<double> Offline;
  for (std::size_t Index = 0; Index < Jobs.size(); ++Index) {
    const microseconds Ideal = idealResponse(Jobs[Index], Init.Targets) + Trip;
    const job_outcome &Job = Outcome.Jobs[Index];
    Figures.Tasks += Jobs[Index].Tasks.size();
    Offline.push_back(ratio(Limits[Index] + Trip, Ideal));
    if (Job.State == job_state::Complete) {
      Measured.push_back(ratio(Job.Response, Ideal));
    } else {
      ++Figures.Unfinished[labelOf(Job)];
    }
  }
  Figures.Complete = Measured.size();
  Figures.Slowdown = summarize(Measured);
  Figures.Limit = summarize(Offline);
}

Json::Value toJson(const slowdown_figures &Figures) {
  Json::Value Value;
  Value["mean"] = Figures.Mean;
  Value["p50"] = Figures.P50;
  Value["p99"] = Figures.P99;
  return Value;
}

Json::Value toJson(const std::map<std::string, std::uint64_t> &Counts) {
  Json::Value Value(Json::objectValue);
  for (const auto &[Name, Count] : Counts) {
    Value[Name] = Json::UInt64(Count);
  }
  return Value;
}

template <class T>
void printRow(std::ostream &Out, const std::string &Name, const T &Value) {
  Out << std::left << std::setw(NameWidth) << Name << ' ' << Value << '\n';
}

void printRow(std::ostream &Out, const std::string &Name,
              const slowdown_figures &Figures) {
  Out << std::left << std::setw(NameWidth) << Name << " mean " << Figures.Mean
      << "  p50 " << Figures.P50 << "  p99 " << Figures.P99 << '\n';
}

void printCounts(std::ostream &Out, const std::string &Prefix,
                 const std::map<std::string, std::uint64_t> &Counts) {
  for (const auto &[Name, Count] : Counts) {
    printRow(Out, Prefix + Name, Count);
  }
}
} // namespace

slowdown_figures summarize(const std::vector<double> &Slowdowns) {
  namespace acc = boost::accumulators;
  if (Slowdowns.empty()) {
    return {};
  }
  // A cache as large as the sample makes the quantiles exact.
  acc::accumulator_set<
      double, acc::stats<acc::tag::mean, acc::tag::tail_quantile<acc::right>>>
      Samples(acc::tag::tail<acc::right>::cache_size = Slowdowns.size());
  for (const double Slowdown : Slowdowns) {
    Samples(Slowdown);
  }
  const auto Quantile = [&](double Probability) {
    return acc::quantile(Samples, acc::quantile_probability = Probability);
  };
  return {acc::mean(Samples), Quantile(Median), Quantile(Percentile99)};
}

run_figures makeFigures(const arrivals_init &Init,
                        const std::vector<planned_job> &Jobs,
                        const callers_outcome &Outcome, message_counts Messages,
                        microseconds Trip) {
  run_figures Figures;
  Figures.Mix = Init.Mix.Name;
  Figures.OfferedLoad = Init.OfferedLoad;
  Figures.Seed = Init.Seed;
  Figures.Jobs = Jobs.size();
  addSlowdowns(Init, Jobs, Outcome, Trip, Figures);
  const std::chrono::duration<double> Length = Outcome.Length;
  Figures.StartsPerSecond =
      static_cast<double>(Messages.Starts) / std::max(Length.count(), 1e-3);
  const std::uint64_t Wasted = std::accumulate(
      Messages.Wasted.begin(), Messages.Wasted.end(), std::uint64_t{0},
      [](std::uint64_t Sum, const auto &Kind) { return Sum + Kind.second; });
  Figures.WastedPerTask =
      static_cast<double>(Wasted) /
      static_cast<double>(std::max<std::size_t>(1, Figures.Tasks));
  Figures.ResubmissionAnswers = Outcome.ResubmissionAnswers;
  Figures.Messages = std::move(Messages);
  return Figures;
}

Json::Value toJson(const run_figures &Figures) {
  Json::Value Value;
  Value["mix"] = Figures.Mix;
  Value["offered_load"] = Figures.OfferedLoad;
  Value["seed"] = Json::UInt64(Figures.Seed);
  Value["jobs"] = Json::UInt64(Figures.Jobs);
  Value["tasks"] = Json::UInt64(Figures.Tasks);
  Value["complete"] = Json::UInt64(Figures.Complete);
  Value["unfinished"] = toJson(Figures.Unfinished);
  Value["resubmission_answers"] = toJson(Figures.ResubmissionAnswers);
  Value["slowdown"] = toJson(Figures.Slowdown);
  Value["limit"] = toJson(Figures.Limit);
  Value["starts"] = Json::UInt64(Figures.Messages.Starts);
  Value["starts_per_second"] = Figures.StartsPerSecond;
  Value["wasted_per_task"] = Figures.WastedPerTask;
  Value["wasted"] = toJson(Figures.Messages.Wasted);
  return Value;
}

void printTable(std::ostream &Out, const run_figures &Figures) {
  Out << std::fixed << std::setprecision(Precision);
  printRow(Out, "mix", Figures.Mix);
  printRow(Out, "offered load", Figures.OfferedLoad);
  printRow(Out, "jobs", Figures.Jobs);
  printRow(Out, "tasks", Figures.Tasks);
  printRow(Out, "complete jobs", Figures.Complete);
  printCounts(Out, "", Figures.Unfinished);
  printCounts(Out, "resubmitted: ", Figures.ResubmissionAnswers);
  printRow(Out, "slowdown", Figures.Slowdown);
  printRow(Out, "slowdown, offline limit", Figures.Limit);
  printRow(Out, "task starts", Figures.Messages.Starts);
  printRow(Out, "task starts a second", Figures.StartsPerSecond);
  printRow(Out, "wasted messages a task", Figures.WastedPerTask);
  printCounts(Out, "wasted: ", Figures.Messages.Wasted);
}

} // namespace tarragonbridge
