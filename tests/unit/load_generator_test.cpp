/// Responses of pool hosts under load.
#include "load_generator.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

using namespace tarragonbridge;
using namespace tarragonbridge::pool;
using namespace std::chrono_literals;

namespace {
struct load_case {
  std::string Name;
  std::size_t Hosts = 0;
  double RateFactor = 1; ///< 1: about three quarters of the targets are busy
  double MinWithinObjective = 0; ///< fraction of the jobs
  double MaxLate = 0;            ///< fraction of the jobs
  double MaxOffersRefused = 0;   ///< fraction of all offers
};
constexpr std::size_t TargetsPerHost = 8; // as on the users' sites
constexpr std::size_t Domains = 3;

/// @returns the rate factor that scales the site mix to the simulated targets
double rateFactorFor(std::size_t Hosts) {
  constexpr double SiteMixTargets = 48; // that the rates of the mix are for
  return static_cast<double>(Hosts * TargetsPerHost) / SiteMixTargets;
}

load_report runLoad(pool_simulation &Simulation, std::size_t Hosts,
                    double RateFactor) {
  constexpr milliseconds WarmUp{1'500};
  constexpr milliseconds Measured{2'500};
  constexpr double CooldownRateFactor = 0.5;
  load_generator_init Load;
  Load.Hosts = Hosts;
  Load.Kinds = siteRequestMix();
  load_generator Callers(Simulation, Load);
  Callers.setRateFactor(rateFactorFor(Hosts));
  Callers.runFor(WarmUp);
  const boot_time Begin = Simulation.now();
  Callers.setRateFactor(rateFactorFor(Hosts) * RateFactor);
  Callers.runFor(Measured);
  const boot_time End = Simulation.now();
  Callers.setRateFactor(rateFactorFor(Hosts) * CooldownRateFactor);
  Callers.runFor(1s);
  Simulation.runFor(8s);
  return Callers.report(Begin, End);
}

double refusedOfferFraction(const pool_simulation &Simulation) {
  return static_cast<double>(Simulation.counterTotal(counter::OffersRefused)) /
         static_cast<double>(Simulation.counterTotal(counter::TasksOffered));
}
} // namespace

// Hosts place tasks by advertised free capacity, which is out of date by some
// time; the more hosts there are, the more of them place by the same outdated
// state. Expected: without overload nearly all jobs complete within their
// objective. In a burst beyond the capacity of the targets, jobs worth three
// quarters of that capacity complete within it, the rest is refused at once,
// and hardly any job is late or queued until it is abandoned.
TEST_CASE("a pool of many hosts serves jobs up to the capacity of its targets",
          "[pool]") {
  const auto Case = GENERATE(values<load_case>({
      {"few hosts, normal load", 6, 1, 0.95, 0.03, 0.1},
      {"many hosts, normal load", 24, 1, 0.95, 0.03, 0.1},
      {"few hosts, burst", 6, 1.7, 0.57, 0.05, 0.3},
      {"many hosts, burst", 24, 1.7, 0.57, 0.05, 0.3},
  }));
  INFO(Case.Name);
  simulation_init Init;
  Init.Hosts = Case.Hosts;
  Init.Domains = Domains;
  Init.TargetsPerDomain = TargetsPerHost * Case.Hosts / Domains;
  Init.Speeds = {0.6, 1, 1.6};
  Init.DatagramLoss = 0.001;
  pool_simulation Simulation(Init);
  Simulation.settle();
  const load_report Report = runLoad(Simulation, Case.Hosts, Case.RateFactor);
  constexpr double MaxAbandoned = 0.01;
  CHECK(Report.withinObjectiveFraction() >= Case.MinWithinObjective);
  CHECK(Report.fraction(Report.Late) <= Case.MaxLate);
  CHECK(Report.abandonedFraction() <= MaxAbandoned);
  CHECK(refusedOfferFraction(Simulation) <= Case.MaxOffersRefused);
  CHECK_THAT(Simulation.violations(), Catch::Equals(""));
}

// Hidden; prints the results of one load: HOSTS=45 TARGETS=117 LOAD=1.3 SEED=2
// MS=3000
TEST_CASE("trial of load", "[.]") {
  const auto Get = [](const char *Name, double Default) {
    const char *Text = std::getenv(Name);
    return Text == nullptr ? Default : std::strtod(Text, nullptr);
  };
  simulation_init Init;
  Init.Hosts = static_cast<std::size_t>(Get("HOSTS", 24));
  Init.Domains = 3;
  Init.TargetsPerDomain = static_cast<std::size_t>(Get("TARGETS", 48));
  Init.Speeds = {0.6, 1, 1.6};
  Init.DatagramLoss = 0.001;
  Init.Seed = static_cast<std::uint64_t>(Get("SEED", 1));
  pool_simulation Simulation(Init);
  Simulation.settle();
  load_generator_init Load;
  Load.Seed = static_cast<std::uint64_t>(Get("SEED", 1));
  Load.Hosts = Init.Hosts;
  Load.Kinds = siteRequestMix();
  const double Size = 3.0 * Get("TARGETS", 48) / 48;
  load_generator Callers(Simulation, Load);
  Callers.setRateFactor(Size * Get("WARM", 0.8));
  Callers.runFor(1500ms);
  const auto Begin = Simulation.now();
  Callers.setRateFactor(Size * Get("LOAD", 1.0));
  Callers.runFor(std::chrono::milliseconds(static_cast<int>(Get("MS", 3000))));
  const auto End = Simulation.now();
  Callers.setRateFactor(Size * 0.6);
  Callers.runFor(1000ms);
  Simulation.runFor(8s);
  const auto Report = Callers.report(Begin, End);
  std::cout << "worth "
            << Report.withinObjectiveFraction() +
                   0.2 * Report.fraction(Report.Late)
            << " asked " << Report.Submitted << " in time "
            << Report.withinObjectiveFraction() << " late "
            << Report.fraction(Report.Late) << " refused "
            << Report.fraction(Report.Refused) << " given up "
            << Report.abandonedFraction() << " offers/start "
            << double(Simulation.counterTotal(counter::TasksOffered)) /
                   double(Simulation.counterTotal(counter::AttemptsStarted))
            << " refused offers/offer "
            << double(Simulation.counterTotal(counter::OffersRefused)) /
                   double(Simulation.counterTotal(counter::TasksOffered))
            << " datagrams " << Simulation.counterTotal(counter::DatagramsSent)
            << " " << Simulation.violations() << "\n";
}
