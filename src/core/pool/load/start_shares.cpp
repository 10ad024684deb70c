#include "core/pool/load/start_shares_p.h"

#include <algorithm>
#include <cmath>

namespace tarragonbridge::pool {

namespace {
double inMs(milliseconds Time) { return static_cast<double>(Time.count()); }

/// @returns the time that less urgent levels are owed for each time unit of
/// these
double owedPerTime(std::size_t Level) {
  const double Share = config::LessUrgentShare.at(Level);
  return Share / (1 - Share);
}
} // namespace

double start_shares::decaySince(boot_time Now) const {
  const std::chrono::duration<double> Age = Now - DecayedAt;
  const std::chrono::duration<double> Window = config::StartRateWindow;
  return std::exp(-std::max(Age.count(), 0.0) / Window.count());
}

void start_shares::recordStart(std::size_t Level, milliseconds RunTime,
                               std::optional<std::size_t> LeastUrgent,
                               boot_time Now) {
  const double Decay = decaySince(Now);
  for (double &Recent : RecentMs) {
    Recent *= Decay;
  }
  DecayedAt = Now;
  RecentMs.at(Level) += inMs(RunTime);
  for (std::size_t Upper = 0; Upper < OwedMs.size(); ++Upper) {
    double &Owed = OwedMs.at(Upper);
    if (Level > Upper) {
      Owed = std::max(Owed, 0.0) - inMs(RunTime);
    } else if (Level == Upper && LeastUrgent && *LeastUrgent > Upper) {
      Owed = std::min(Owed + owedPerTime(Upper) * inMs(RunTime),
                      inMs(config::MaxOwedTime));
    }
  }
}

std::optional<start_shares::owed_start>
start_shares::owed(std::size_t LeastUrgent) const {
  const std::size_t End = std::min(LeastUrgent, OwedMs.size());
  std::size_t Upper = 0;
  while (Upper < End && OwedMs.at(Upper) <= 0) {
    ++Upper;
  }
  if (Upper == End) {
    return std::nullopt;
  }
  std::size_t Lower = Upper;
  while (Lower + 1 < End && OwedMs.at(Lower + 1) > 0) {
    ++Lower;
  }
  return owed_start{Upper, Lower};
}

double start_shares::fractionLeft(std::size_t Level, bool HasLessUrgent,
                                  std::uint32_t Slots, boot_time Now) const {
  const double Kept = HasLessUrgent && Level < OwedMs.size()
                          ? 1 - config::LessUrgentShare.at(Level)
                          : 1;
  double MoreUrgentMs = 0;
  for (std::size_t Upper = 0; Upper < Level; ++Upper) {
    MoreUrgentMs += RecentMs.at(Upper);
  }
  const double WindowMs = Slots * inMs(config::StartRateWindow);
  const double Left = 1 - decaySince(Now) * MoreUrgentMs / WindowMs;
  double Floor = 1;
  for (std::size_t Upper = 0; Upper < Level; ++Upper) {
    Floor *= config::LessUrgentShare.at(Upper);
  }
  return Kept * std::clamp(Left, Floor, 1.0);
}

} // namespace tarragonbridge::pool
