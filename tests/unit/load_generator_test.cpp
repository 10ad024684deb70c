/// Responses of pool hosts under load.
#include "load_generator.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <optional>
#include <string>

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

/// @returns a pool of three failure domains with targets as on the users' sites
simulation_init makeSite(std::size_t Hosts, std::size_t TargetsPerDomain,
                         std::uint64_t Seed = 1) {
  simulation_init Init;
  Init.Hosts = Hosts;
  Init.Domains = Domains;
  Init.TargetsPerDomain = TargetsPerDomain;
  Init.Speeds = {0.6, 1, 1.6};
  Init.DatagramLoss = 0.001;
  Init.Seed = Seed;
  return Init;
}

load_report runLoad(pool_simulation &Simulation, std::size_t Hosts,
                    double RateFactor, std::uint64_t Seed = 1) {
  constexpr milliseconds WarmUp{1'500};
  constexpr milliseconds Measured{2'500};
  constexpr double CooldownRateFactor = 0.5;
  load_generator_init Load;
  Load.Hosts = Hosts;
  Load.Kinds = siteRequestMix();
  Load.Seed = Seed;
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
  pool_simulation Simulation(
      makeSite(Case.Hosts, TargetsPerHost * Case.Hosts / Domains));
  Simulation.settle();
  const load_report Report = runLoad(Simulation, Case.Hosts, Case.RateFactor);
  constexpr double MaxAbandoned = 0.01;
  CHECK(Report.withinObjectiveFraction() >= Case.MinWithinObjective);
  CHECK(Report.fraction(Report.Late) <= Case.MaxLate);
  CHECK(Report.abandonedFraction() <= MaxAbandoned);
  CHECK(refusedOfferFraction(Simulation) <= Case.MaxOffersRefused);
  CHECK_THAT(Simulation.violations(), Catch::Equals(""));
}

namespace {
constexpr double CapacityInUse = 0.77; // at a rate factor of 1

/// @returns the work of the most urgent kind of the site mix over that of all
double urgentPartOfWork() {
  double Urgent = 0;
  double All = 0;
  for (const request_kind &Kind : siteRequestMix()) {
    const double Work =
        Kind.PerSecond * Kind.Tasks * static_cast<double>(Kind.RunTime.count());
    Urgent += Kind.Route == "r0" ? Work : 0;
    All += Work;
  }
  return Urgent / All;
}

struct overload_case {
  std::string Name;
  std::size_t Hosts = 9;
  double RateFactor = 1;
  /// Of what an even share of the room that the most urgent kind leaves would
  /// be.
  double LessUrgentPart = 0;
  double MinWorth = 0; ///< of all kinds, over an even share of the room
  std::function<void(pool_simulation &)> Fault = [](pool_simulation &) {};
  /// Hosts that a fault leaves; the callers of the others get no response.
  std::size_t HostsLeft = 9;
};

std::map<std::string, load_report::worth>
playOverload(const overload_case &Case) {
  constexpr std::uint64_t Plays = 6;
  std::map<std::string, load_report::worth> Total;
  for (std::uint64_t Seed = 1; Seed <= Plays; ++Seed) {
    pool_simulation Simulation(
        makeSite(Case.Hosts, TargetsPerHost * Case.Hosts / Domains, Seed));
    Simulation.settle();
    Case.Fault(Simulation);
    const load_report Report =
        runLoad(Simulation, Case.Hosts, Case.RateFactor, Seed);
    CHECK_THAT(Simulation.violations(), Catch::Equals(""));
    for (const auto &[Route, Worth] : Report.WorthByRoute) {
      Total[Route].Owed += Worth.Owed;
      Total[Route].Earned += Worth.Earned;
    }
  }
  return Total;
}
} // namespace

// The site mix, of which each kind is worth a third in all. In a burst the most
// urgent kind (r0) is served whenever the room would do for it, and no kind
// goes unserved, be its run time long against its objective or its tasks many.
// Expected as the mean of some plays.
TEST_CASE("in a burst urgent callers are served and the others not starved",
          "[pool]") {
  const auto Case = GENERATE(values<overload_case>({
      {"few hosts, light", 9, 1.3, 0.8, 0.9},
      {"few hosts", 9, 2.2, 0.5, 0.85},
      {"many hosts, light", 24, 1.3, 0.8, 0.9},
      {"many hosts", 24, 2.2, 0.5, 0.85},
      {"an owner is lost", 9, 2.2, 0.4, 0.75,
       [](pool_simulation &Simulation) {
         Simulation.kill(4);
         Simulation.runFor(1s);
       },
       8},
      {"hosts of two domains don't hear each other", 9, 2.2, 0.4, 0.75,
       [](pool_simulation &Simulation) {
         for (const std::size_t Host : {0U, 3U, 6U}) {
           for (const std::size_t Other : {1U, 4U, 7U}) {
             Simulation.partitionHosts(Host, Other);
           }
         }
         Simulation.runFor(1s);
       }},
  }));
  INFO(Case.Name);
  constexpr double MinUrgent = 0.9;
  const double Load = Case.RateFactor * CapacityInUse;
  const double Urgent = urgentPartOfWork() * Load;
  const double EvenShare = std::min(1 / Load, 1.0);
  const double LeftShare = std::min((1 - Urgent) / (Load - Urgent), 1.0);
  auto Total = playOverload(Case);
  const double LeastServed =
      std::min(Total["r1"].fraction(), Total["r2"].fraction());
  const double Mean = (Total["r0"].fraction() + Total["r1"].fraction() +
                       Total["r2"].fraction()) /
                      3;
  CAPTURE(Total["r0"].fraction(), Total["r1"].fraction(),
          Total["r2"].fraction());
  const double Reached = static_cast<double>(Case.HostsLeft) / 9;
  CHECK(Total["r0"].fraction() >= MinUrgent * Reached);
  CHECK(LeastServed >= Case.LessUrgentPart * LeftShare);
  CHECK(Mean >= Case.MinWorth * EvenShare);
}

namespace {
/// @returns the value of a field "Name=value" in a log line, nothing if absent
std::optional<int> fieldOf(const std::string &Line, const std::string &Name) {
  const std::size_t At = Line.find(" " + Name + "=");
  if (At == std::string::npos) {
    return std::nullopt;
  }
  return std::stoi(Line.substr(At + Name.size() + 2));
}
} // namespace

// Three hosts of two targets each, a third of the capacity in use: jobs queue
// for a moment when some arrive together. None is refused that is predicted to
// end within its objective.
TEST_CASE("a pool without overload refuses no job that is in time", "[pool]") {
  const std::uint64_t Seed = GENERATE(range<std::uint64_t>(1, 21));
  INFO("seed " << Seed);
  simulation_init Init;
  Init.Hosts = 3;
  Init.Domains = 2;
  Init.TargetsPerDomain = 3;
  Init.Seed = Seed;
  std::size_t Refused = 0;
  std::string RefusedInTime;
  Init.Trace = [&](boot_time, const std::string &Line) {
    const auto PredictedEnd = fieldOf(Line, "predicted_end_ms");
    if (PredictedEnd && Line.find("job_refused") != std::string::npos) {
      ++Refused;
      if (*PredictedEnd <= fieldOf(Line, "objective_ms").value_or(0)) {
        RefusedInTime += Line + "\n";
      }
    }
  };
  pool_simulation Simulation(Init);
  Simulation.settle();
  load_generator_init Load;
  Load.Hosts = Init.Hosts;
  Load.Seed = Seed;
  Load.Kinds = {{"r0", 10, 4, 100ms}};
  Load.JobSigma = Load.TaskSigma = Load.EstimateSigma = 0;
  load_generator Callers(Simulation, Load);
  const boot_time Begin = Simulation.now();
  Callers.runFor(8s);
  const boot_time End = Simulation.now();
  Simulation.runFor(2s);
  const load_report Report = Callers.report(Begin, End);
  CHECK_THAT(RefusedInTime, Catch::Equals(""));
  CHECK(Report.Refused == Refused);
  CHECK(Report.Abandoned == 0);
}

// Hidden; prints the results of one load: HOSTS=45 TARGETS=117 LOAD=1.3 SEED=2
// MS=3000
TEST_CASE("trial of load", "[.]") {
  const auto Get = [](const char *Name, double Default) {
    const char *Text = std::getenv(Name);
    return Text == nullptr ? Default : std::strtod(Text, nullptr);
  };
  const simulation_init Init =
      makeSite(static_cast<std::size_t>(Get("HOSTS", 24)),
               static_cast<std::size_t>(Get("TARGETS", 48)),
               static_cast<std::uint64_t>(Get("SEED", 1)));
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
  for (const auto &[Route, Worth] : Report.WorthByRoute) {
    std::cout << Route << " " << Worth.fraction() << " (late " << Worth.Late
              << " refused " << Worth.Refused << " of " << Worth.Submitted
              << ") ";
  }
  std::cout << "worth " << Report.Worth.fraction() << " asked "
            << Report.Submitted << " in time "
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
