#include <bench/config/config_promises.hpp>

#include <medlarmoor/core/clock.hpp>

#include <nlohmann/json.hpp>

#include <thread>

namespace medlarmoor::bench {

using nlohmann::json;

namespace {

constexpr Millis Limit = Seconds(10);
/// 20,000 changes a day are one in this time.
constexpr Millis ChangePeriod{4320};
constexpr Seconds CountTime{20};
constexpr Seconds ByteTime{40};
constexpr std::size_t CountedChanges = 10;

/// Calls to the platform in one stretch of time, by kind.
struct Calls {
  double Reads_ = 0;
  double Writes_ = 0;
  double Watches_ = 0;
  double Lists_ = 0;

  [[nodiscard]] double all() const {
    return Reads_ + Writes_ + Watches_ + Lists_;
  }
};

Calls countersOf(ConfigWorld &World) {
  const json Read = World.counters();
  return {Read.value("reads", 0.0), Read.value("writes", 0.0),
          Read.value("watches", 0.0), Read.value("lists", 0.0)};
}

/// The calls a second while Changes are made in CountTime; the bench's own
/// calls for publishing are taken off.
Calls measure(ConfigWorld &World, std::size_t Changes, Times &Seen) {
  // What a start leaves behind settles first.
  std::this_thread::sleep_for(Seconds(8));
  const Calls Before = countersOf(World);
  Calls Own;
  const TimePoint End = Clock().now() + CountTime;
  for (std::size_t I = 0; I < Changes; ++I) {
    const auto Change = World.change();
    // A publication reads the manifest and one index part and writes a part,
    // an index part and the manifest.
    Own.Reads_ += 2;
    Own.Writes_ += 3;
    Seen.add(Change ? World.inForce(*Change, Limit) : std::nullopt);
    std::this_thread::sleep_for(CountTime / static_cast<int>(2 * Changes));
  }
  std::this_thread::sleep_until(End);
  const Calls After = countersOf(World);
  const double Time = static_cast<double>(CountTime.count());
  return {(After.Reads_ - Before.Reads_ - Own.Reads_) / Time,
          (After.Writes_ - Before.Writes_ - Own.Writes_) / Time,
          (After.Watches_ - Before.Watches_) / Time,
          (After.Lists_ - Before.Lists_) / Time};
}

json toJson(const Calls &Each) {
  return {{"reads", Each.Reads_},
          {"writes", Each.Writes_},
          {"watches", Each.Watches_},
          {"lists", Each.Lists_}};
}

} // namespace

void runCalls(Record &Out) {
  constexpr std::size_t Few = 4;
  constexpr std::size_t Many = 40;
  Calls Quiet[2];
  Calls Busy[2];
  Times Seen;
  std::uint64_t Reverts = 0;
  std::uint64_t Half = 0;
  const std::size_t Sizes[2] = {Few, Many};
  for (std::size_t I = 0; I < 2; ++I) {
    ConfigWorld World(Out.Seed_, false);
    if (!World.start(1, Sizes[I]))
      return addFailure(World.lastReason(), Out);
    Quiet[I] = measure(World, 0, Seen);
    Busy[I] = measure(World, CountedChanges, Seen);
    Reverts += World.reverts();
    Half += World.halfApplied();
    const std::string Size = std::to_string(Sizes[I]);
    Out.Figures_["calls_a_second_quiet_" + Size] = toJson(Quiet[I]);
    Out.Figures_["calls_a_second_changes_" + Size] = toJson(Busy[I]);
  }
  const double Entries = Many - Few;
  const double Rate = static_cast<double>(CountedChanges) /
                      static_cast<double>(CountTime.count());
  // Watches a second are open watches that come to their end; each daemon
  // beyond the two watchers would add to them.
  const double WatchSlope = (Quiet[1].Watches_ - Quiet[0].Watches_) / Entries;
  Out.Figures_["calls_a_second_for_one_more_entry"] =
      (Quiet[1].all() - Quiet[0].all()) / Entries;
  Out.Figures_["calls_for_one_more_change"] =
      (Busy[1].all() - Quiet[1].all()) / Rate;
  addPromises({{"in_force_ms_p100", Seen.slowest(), InForceBoundMs},
               {"watches_a_second_for_one_more_entry",
                std::max(0.0, WatchSlope), 0.005},
               {"reverts", static_cast<double>(Reverts), 0},
               {"half_applied", static_cast<double>(Half), 0}},
              Out);
}

void runControlBytes(Record &Out) {
  constexpr std::size_t Entries = 40;
  ConfigWorld World(Out.Seed_, false);
  if (!World.start(1, Entries))
    return addFailure(World.lastReason(), Out);
  std::this_thread::sleep_for(Seconds(8));
  std::map<std::string, double> Before;
  for (const std::string &Name : World.entriesOf(0))
    Before[Name] = World.controlBytes(Name);
  const TimePoint Start = Clock().now();
  Times Seen;
  while (Clock().now() - Start < ByteTime) {
    const TimePoint Next = Clock().now() + ChangePeriod;
    const auto Change = World.change();
    Seen.add(Change ? World.inForce(*Change, Limit) : std::nullopt);
    std::this_thread::sleep_until(Next);
  }
  const double Elapsed =
      std::chrono::duration<double>(Clock().now() - Start).count();
  double Most = 0;
  double Sum = 0;
  for (const auto &[Name, Bytes] : Before) {
    const double Rate = (World.controlBytes(Name) - Bytes) / Elapsed;
    Most = std::max(Most, Rate);
    Sum += Rate;
  }
  addCommon(World, Seen, Out,
            {{"control_bytes_a_second_p100", Most, ControlBound}});
  Out.Figures_["control_bytes_a_second_mean"] =
      std::round(Sum / static_cast<double>(Before.size()));
  Out.Figures_["entries"] = Entries;
}

} // namespace medlarmoor::bench
