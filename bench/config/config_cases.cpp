#include <bench/config/config_promises.hpp>

#include <harness/wait.hpp>
#include <medlarmoor/core/clock.hpp>

#include <nlohmann/json.hpp>

#include <thread>

namespace medlarmoor::bench {

using nlohmann::json;

namespace {

constexpr Millis Limit = Seconds(10);
constexpr Millis BetweenChanges{300};
constexpr std::size_t Changes = 10;
constexpr std::size_t FewChanges = 5;

void pauseFor(Millis Time) { std::this_thread::sleep_for(Time); }

/// Makes changes one after the other and notes how long each took.
void makeChanges(ConfigWorld &World, std::size_t Count, Times &Into) {
  for (std::size_t I = 0; I < Count; ++I) {
    const auto Change = World.change();
    Into.add(Change ? World.inForce(*Change, Limit) : std::nullopt);
    pauseFor(BetweenChanges);
  }
}

/// The entries that watch the platform, once there are two.
std::vector<std::string> watchers(ConfigWorld &World) {
  std::vector<std::string> Out;
  (void)harness::waitUntil([&] {
    Out.clear();
    for (const std::string &Name : World.entriesOf(0))
      if (World.metric(Name, "medlarmoor_config_watching") > 0)
        Out.push_back(Name);
    return Out.size() == 2;
  });
  return Out;
}

} // namespace

void runInForce(std::size_t Domains, std::size_t Count, Record &Out) {
  ConfigWorld World(Out.Seed_, false);
  if (!World.start(Domains, Count))
    return addFailure(World.lastReason(), Out);
  Times Seen;
  makeChanges(World, Changes, Seen);
  double Watching = 0;
  for (std::size_t Domain = 0; Domain < Domains; ++Domain)
    for (const std::string &Name : World.entriesOf(Domain))
      Watching += World.metric(Name, "medlarmoor_config_watching");
  addCommon(
      World, Seen, Out,
      {{"watchers_a_domain", Watching / static_cast<double>(Domains), 2}});
  Out.Figures_["entries"] = Domains * Count;
  Out.Figures_["domains"] = Domains;
}

void runSlowPlatform(Record &Out) {
  ConfigWorld World(Out.Seed_, false);
  if (!World.start(1, 4))
    return addFailure(World.lastReason(), Out);
  World.platform({{"delayMs", 500}});
  Times Seen;
  makeChanges(World, FewChanges, Seen);
  addCommon(World, Seen, Out);
  Out.Figures_["delay_ms"] = 500;
}

void runPlatformDown(Record &Out) {
  ConfigWorld World(Out.Seed_, false);
  if (!World.start(1, 4))
    return addFailure(World.lastReason(), Out);
  Times Seen;
  for (std::size_t I = 0; I < FewChanges; ++I) {
    const auto Change = World.change();
    World.platform({{"outage", true}});
    Seen.add(Change ? World.inForce(*Change, Limit) : std::nullopt);
    pauseFor(Seconds(2));
    World.platform({{"outage", false}});
    pauseFor(Seconds(1));
  }
  // The first change after an outage finds the watchers trying again.
  makeChanges(World, 1, Seen);
  addCommon(World, Seen, Out);
}

void runSilentWatch(Record &Out) {
  ConfigWorld World(Out.Seed_, false);
  if (!World.start(1, 4))
    return addFailure(World.lastReason(), Out);
  World.platform({{"silenceWatches", true}});
  Times Seen;
  makeChanges(World, FewChanges, Seen);
  addCommon(World, Seen, Out);
}

void runOldAnswers(Record &Out) {
  ConfigWorld World(Out.Seed_, false);
  if (!World.start(1, 4))
    return addFailure(World.lastReason(), Out);
  Times Seen;
  makeChanges(World, 3, Seen);
  World.platform({{"staleMs", 60'000}});
  Times Started;
  // Each entry in turn is replaced under its name; it must not fall back to
  // what the platform answers. Its log goes on, so a revert shows there.
  for (std::uint8_t Number = 1; Number <= 4; ++Number) {
    const std::string Name = World.entriesOf(0).at(Number - 1U);
    World.cluster().killEntry(Name);
    const WallTime Begin = Clock().wallNow();
    if (!World.startEntry(Number, 0))
      return addFailure(World.lastReason(), Out);
    Started.add(World.inForceSince(Begin, Name, Limit));
  }
  World.platform({{"staleMs", 0}});
  makeChanges(World, 2, Seen);
  addCommon(World, Seen, Out,
            {{"after_start_ms_p100", Started.slowest(), InForceBoundMs}});
}

void runPartition(Record &Out) {
  ConfigWorld World(Out.Seed_, true);
  if (!World.start(2, 4))
    return addFailure(World.lastReason(), Out);
  const auto Reachable = World.entriesOf(0);
  const auto CutOff = World.entriesOf(1);
  Times Seen;
  Times Healed;
  std::size_t Leaked = 0;
  for (int Round = 0; Round < 2; ++Round) {
    World.cut(CutOff);
    std::optional<Acceptance> Last;
    for (std::size_t I = 0; I < 3; ++I) {
      Last = World.change();
      Seen.add(Last ? World.inForce(*Last, Limit, Reachable) : std::nullopt);
      pauseFor(Seconds(1));
    }
    // What the cut-off entries have in force shows that the cut is one.
    for (const std::string &Each : CutOff)
      Leaked += Last && World.inForce(*Last, Millis(0), {Each}) ? 1 : 0;
    const WallTime Heal = Clock().wallNow();
    World.heal();
    const auto After =
        Last ? World.inForce({Last->Version_, Heal}, Limit, CutOff)
             : std::nullopt;
    Healed.add(After);
    pauseFor(Seconds(1));
  }
  addCommon(World, Seen, Out,
            {{"after_heal_ms_p100", Healed.slowest(), InForceBoundMs},
             {"in_force_while_cut_off", static_cast<double>(Leaked), 0}});
}

void runLostWatchers(Record &Out) {
  ConfigWorld World(Out.Seed_, true);
  if (!World.start(1, 5))
    return addFailure(World.lastReason(), Out);
  const auto Cut = watchers(World);
  World.cut(Cut);
  Times Seen;
  makeChanges(World, FewChanges, Seen);
  World.heal();
  makeChanges(World, 1, Seen);
  addCommon(World, Seen, Out);
  Out.Figures_["watchers_cut"] = Cut.size();
}

void runPausedWatcher(Record &Out) {
  ConfigWorld World(Out.Seed_, false);
  if (!World.start(1, 5))
    return addFailure(World.lastReason(), Out);
  const std::string Paused = watchers(World).front();
  std::vector<std::string> Others = World.entriesOf(0);
  std::erase(Others, Paused);
  Times Seen;
  Times Woken;
  for (int Round = 0; Round < 3; ++Round) {
    World.cluster().entry(Paused).pause();
    std::optional<Acceptance> Last;
    for (int I = 0; I < 2; ++I) {
      Last = World.change();
      Seen.add(Last ? World.inForce(*Last, Limit, Others) : std::nullopt);
      pauseFor(Seconds(1));
    }
    const WallTime Wake = Clock().wallNow();
    World.cluster().entry(Paused).resume();
    Woken.add(Last ? World.inForce({Last->Version_, Wake}, Limit, {Paused})
                   : std::nullopt);
  }
  addCommon(World, Seen, Out,
            {{"after_wake_ms_p100", Woken.slowest(), InForceBoundMs}});
}

void runNewEntry(Record &Out) {
  ConfigWorld World(Out.Seed_, false);
  if (!World.start(1, 4))
    return addFailure(World.lastReason(), Out);
  Times Seen;
  makeChanges(World, 2, Seen);
  World.platform({{"outage", true}});
  Times Started;
  for (std::uint8_t Number = 5; Number < 8; ++Number) {
    const WallTime Begin = Clock().wallNow();
    if (!World.startEntry(Number, 0))
      return addFailure(World.lastReason(), Out);
    Started.add(World.inForceSince(Begin, World.entriesOf(0).back(), Limit));
  }
  World.platform({{"outage", false}});
  makeChanges(World, 2, Seen);
  addCommon(World, Seen, Out,
            {{"after_start_ms_p100", Started.slowest(), InForceBoundMs}});
}

} // namespace medlarmoor::bench
