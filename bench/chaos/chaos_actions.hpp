#ifndef MEDLARMOOR_BENCH_CHAOS_CHAOS_ACTIONS_HPP
#define MEDLARMOOR_BENCH_CHAOS_CHAOS_ACTIONS_HPP

#include <bench/chaos/chaos_plan.hpp>
#include <bench/chaos/operators.hpp>
#include <bench/world/sampler.hpp>
#include <harness/cluster.hpp>

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace medlarmoor::bench::chaos {

struct Performer;

/// Does to a cluster what the steps of a plan say.
class ChaosActions {
public:
  ChaosActions(harness::Cluster &World, Operators &Who, Sampler &Watch)
      : World_(World), Operators_(Who), Sampler_(Watch) {}

  /// Entries 1 to Count are there; later ones get higher numbers.
  void begin(std::uint8_t Count) { NextNumber_ = Count; }
  /// Does one step and returns a line about it, empty when there was nothing
  /// to do.
  std::string perform(const Step &Now, const Event &Which);
  /// Lets entries that became ready serve and forgets those that have left.
  void poll();
  /// Ends all faults, and waits for entries that leave or join; false when
  /// one does neither.
  [[nodiscard]] bool healAll();

  /// Planned stops that did not end with code 0.
  [[nodiscard]] std::uint64_t failedStops() const noexcept {
    return FailedStops_;
  }
  /// Entries that did not start.
  [[nodiscard]] std::uint64_t failedStarts() const noexcept {
    return FailedStarts_;
  }

private:
  friend struct Performer;

  /// Names of entries that serve and that no event holds.
  [[nodiscard]] std::vector<std::string> free() const;
  [[nodiscard]] std::string pickEntry(Pick Which) const;
  [[nodiscard]] std::string pickUpstream(Pick Which) const;
  [[nodiscard]] std::string addressOf(const std::string &Entry) const;
  config::Upstream &upstream(Pick Which);
  void setRule(std::size_t Index, const nlohmann::json &Rule);
  void removeRules(std::size_t Index);
  std::string startEntry(std::uint8_t Number);

  harness::Cluster &World_;
  Operators &Operators_;
  Sampler &Sampler_;
  std::uint8_t NextNumber_ = 0;
  /// The entry that an event has to do with, by the event's index.
  std::map<std::size_t, std::string> Held_;
  /// Names of the proxy's rules, by the event's index.
  std::map<std::size_t, std::vector<std::string>> Rules_;
  std::set<std::string> Joining_;
  std::set<std::string> Retiring_;
  std::uint64_t FailedStops_ = 0;
  std::uint64_t FailedStarts_ = 0;
};

} // namespace medlarmoor::bench::chaos

#endif // MEDLARMOOR_BENCH_CHAOS_CHAOS_ACTIONS_HPP
