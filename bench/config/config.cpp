#include <bench/config/config_cases.hpp>
#include <bench/experiments.hpp>

#include <functional>
#include <string>
#include <vector>

namespace medlarmoor::bench {

namespace {

struct Case {
  const char *Name_;
  std::function<void(Record &)> Run_;
  /// Runs only when it is named: it measures against the target's bounds.
  bool OnlyNamed_ = false;
};

const std::vector<Case> &cases() {
  static const std::vector<Case> All{
      {"in_force_4", [](Record &Out) { runInForce(1, 4, Out); }},
      {"in_force_200", [](Record &Out) { runInForce(4, 50, Out); }},
      {"platform_slow", runSlowPlatform},
      {"platform_down_after_accept", runPlatformDown},
      {"watch_silent", runSilentWatch},
      {"platform_old_answers", runOldAnswers},
      {"partition_and_heal", runPartition},
      {"watchers_cut_off", runLostWatchers},
      {"watcher_paused", runPausedWatcher},
      {"new_entry_platform_down", runNewEntry},
      {"race_20", [](Record &Out) { runRace(0, Out); }},
      {"race_20_answers_lost", [](Record &Out) { runRace(5, Out); }},
      {"platform_calls", runCalls},
      {"control_bytes", runControlBytes},
      {"target_document", runTargetDocument, true},
  };
  return All;
}

} // namespace

int runConfig(const Options &Asked) {
  bool Held = true;
  bool Ran = false;
  for (const Case &Each : cases()) {
    const bool Named = Asked.Case_ == Each.Name_;
    if (!Named && (!Asked.Case_.empty() || Each.OnlyNamed_))
      continue;
    Record Out;
    Out.Experiment_ = "config";
    Out.Case_ = Each.Name_;
    Out.Seed_ = Asked.Seed_;
    Each.Run_(Out);
    print(Out);
    Held = Held && Out.Held_;
    Ran = true;
  }
  if (!Ran)
    return 2;
  return Held ? 0 : 1;
}

} // namespace medlarmoor::bench
