/// Checks the platform's rules on what its targets and callers saw.
#pragma once

#include "emulator/target_model.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace tarragonbridge::emulator {

enum class rule : std::uint8_t {
  Limit,   ///< a target is over its capacity
  Twice,   ///< two runs of a task at the same time
  Unasked, ///< a start that no caller asked for, or long after its cancelling
  Refused, ///< a start of a job all of whose submissions were refused
  Budget,  ///< a start after as many failures as the route allows, or three
           ///< starts after three targets crashed under the task
  Route,   ///< a start at a service that the route never named
  Drain,   ///< a start at a target that has been leaving for longer
  Evacuation, ///< a start in a failure domain that has been evacuated for
              ///< longer
  Config,     ///< an answer by a configuration that is no longer in force
  Lost,       ///< a request cut off by planned work
};
std::string_view nameOf(rule Rule);

struct broken_rule {
  rule Rule = rule::Limit;
  boot_time At;
  std::string What;
};

/// What a caller submitted.
struct submitted_job {
  std::string Id;
  std::set<std::string> Services; ///< of its route, in any configuration
  std::map<std::uint32_t, std::uint32_t> Counts; ///< tasks by step
  std::uint32_t MaxAttempts = 1;
  bool IsKept = false; ///< state must last; else a break allows a new run
};

class rules_checker {
public:
  /// Past the bound a cancelled job's task may not start.
  explicit rules_checker(milliseconds CancelBound, milliseconds DrainBound,
                         milliseconds EvacuationBound = milliseconds(5'000))
      : CancelBound(CancelBound), DrainBound(DrainBound),
        EvacuationBound(EvacuationBound) {}

  void addTarget(const target_model_init &Target);
  void noteSubmitted(const submitted_job &Job);
  /// A submission got an answer: refused, or any other.
  void noteAnswer(const std::string &Job, bool IsRefused);
  /// A caller's connection ended without an answer. Planned: around a
  /// shutdown, with no unplanned fault near.
  void noteCut(const std::string &Job, bool IsPlanned, boot_time At);
  void noteCancelled(const std::string &Job, boot_time At);
  void noteDraining(const std::string &Target, boot_time At);
  void noteEvacuation(const std::string &FailureDomain, bool IsEvacuated,
                      boot_time At);
  void
  noteTarget(const target_event &Event,
             const std::function<task_profile(const attempt_ref &)> &ProfileOf);
  /// A request was answered as a configuration older than the one in force
  /// allows.
  void noteOldConfiguration(const std::string &What, boot_time At);
  /// Checks what can only be said at the end.
  void finish(boot_time At);

  const std::vector<broken_rule> &broken() const { return Broken; }
  /// @returns the most targets that crashed under one task
  std::uint32_t mostCrashes() const;

private:
  struct job_record {
    submitted_job Job;
    bool WasRefused = false;
    bool HadOtherAnswer = false; ///< or none yet
    std::size_t Submissions = 0;
    std::size_t Refusals = 0;
    bool HasStarted = false;
    std::optional<boot_time> CancelledAt;
  };
  /// A run at a target: two coordinators may number theirs alike.
  using run_key = std::pair<std::uint32_t, std::string>;
  using task_key = std::tuple<std::string, std::uint32_t, std::uint32_t>;

  /// Of a task that crashes the targets that start it.
  struct crash_record {
    std::uint32_t Targets = 0;     ///< that crashed under it
    std::uint32_t StartsAfter = 0; ///< after CrashLimit targets
  };

  void add(rule Rule, boot_time At, std::string What);
  /// Checks a start of a task under which targets may have crashed.
  void checkCrashes(const target_event &Event, const std::string &What);
  void checkStart(const target_event &Event, const task_profile &Profile);

  milliseconds CancelBound;
  milliseconds DrainBound;
  milliseconds EvacuationBound;
  std::map<std::string, target_model_init> Targets;
  std::map<std::string, boot_time> DrainingSince;
  std::map<std::string, boot_time> EvacuatedSince; ///< by failure domain
  std::map<std::string, job_record> Jobs;
  std::map<std::string, resource_vector> Used; ///< by target
  std::map<task_key, std::map<run_key, resource_vector>> Running;
  std::map<task_key, std::uint32_t> Failures;
  std::map<task_key, crash_record> Crashes;
  std::vector<broken_rule> Broken;
};

} // namespace tarragonbridge::emulator
