#ifndef MEDLARMOOR_BENCH_CHAOS_INTERNAL_PERFORMER_HPP
#define MEDLARMOOR_BENCH_CHAOS_INTERNAL_PERFORMER_HPP

#include <bench/chaos/chaos_actions.hpp>

#include <string>

namespace medlarmoor::bench::chaos {

/// Visits the event of one step; each call returns a line about what was done.
struct Performer {
  ChaosActions &Do_;
  const Step &Now_;

  std::string operator()(const KillEntry &Each);
  std::string operator()(const PauseEntry &Each);
  std::string operator()(const CutEntries &Each);
  std::string operator()(const IsolateEntry &Each);
  std::string operator()(const CutPlatform &Each);
  std::string operator()(const DelayEntry &Each);
  std::string operator()(const LoseControl &Each);
  std::string operator()(const SilenceEntry &Each);
  std::string operator()(const PlatformFault &Each);
  std::string operator()(const UpstreamFault &Each);
  std::string operator()(const CutUpstream &Each);
  std::string operator()(const DrainUpstream &Each);
  std::string operator()(const ChangeWeight &Each);
  std::string operator()(const RaceOperators &Each);
  std::string operator()(const ReplaceEntry &Each);

private:
  [[nodiscard]] bool begins() const { return Now_.Phase_ == Phase::Begin; }
  [[nodiscard]] bool ends() const { return Now_.Phase_ == Phase::End; }
  /// Takes an entry for the event; empty when none is free.
  std::string hold(Pick Which);
  /// Gives the entry of the event back.
  std::string release();
  /// Begins or ends an event that is rules of the proxy alone.
  std::string disturb(const std::string &What,
                      const std::vector<nlohmann::json> &Rules);
  /// Switches a stand-in's fault on or off.
  std::string flip(const std::string &What, Endpoint Where,
                   const std::string &On, const std::string &Off);
};

} // namespace medlarmoor::bench::chaos

#endif // MEDLARMOOR_BENCH_CHAOS_INTERNAL_PERFORMER_HPP
