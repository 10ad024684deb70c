#include "tarragonbridge/run_times.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

using namespace tarragonbridge;

namespace {
struct run_time_row {
  const char *Text;
  double DeclaredBias;   ///< declared over true run time
  double DeclaredSpread; ///< of the logarithm
  double TrueSpread;     ///< of the logarithm, within the class
  milliseconds Declared;
  double ExpectedMs;
};
} // namespace

TEST_CASE("run times are learnt whatever is declared", "[run_times]") {
  // The median true run time of each class is 200 ms.
  const auto Row = GENERATE(values<run_time_row>({
      {"declared right", 1, 0.01, 0.8, milliseconds(400), 400},
      {"declared ten times too long", 10, 0.01, 0.8, milliseconds(4'000), 400},
      {"declared ten times too short", 0.1, 0.01, 0.8, milliseconds(40), 400},
      {"declared at random", 1, 2.3, 0.1, milliseconds(2'000), 200},
  }));
  INFO(Row.Text);
  run_times RunTimes;
  std::mt19937_64 Random(7);
  std::normal_distribution<double> Normal;
  for (int Task = 0; Task < 500; ++Task) {
    const double TrueMs = 200 * std::exp(Row.TrueSpread * Normal(Random));
    const double DeclaredMs = TrueMs * Row.DeclaredBias *
                              std::exp(Row.DeclaredSpread * Normal(Random));
    RunTimes.learn("agents", "quote",
                   milliseconds(std::llround(DeclaredMs) + 1),
                   microseconds(std::llround(TrueMs * 1'000)));
  }
  const auto Estimate = RunTimes.estimate("agents", "quote", Row.Declared);
  CHECK(static_cast<double>(Estimate.Mean.count()) ==
        Approx(Row.ExpectedMs).epsilon(0.1));
  CHECK(Estimate.Samples == 500);
}

TEST_CASE("an unknown class falls back to what is declared", "[run_times]") {
  const run_times RunTimes;
  CHECK(RunTimes.expected("a", "b", milliseconds(70)) == milliseconds(70));
  CHECK(RunTimes.estimate("a", "b", {}).Samples == 0);
}
