#ifndef MEDLARMOOR_BENCH_CHAOS_OPERATORS_HPP
#define MEDLARMOOR_BENCH_CHAOS_OPERATORS_HPP

#include <harness/cluster.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace medlarmoor::bench::chaos {

/// Operators who apply documents in the background, and what they were told.
class Operators {
public:
  explicit Operators(harness::Cluster &World) : World_(World) {}

  /// Applies the document over whatever is there.
  void apply(const config::Environment &Document);
  /// Applies all documents at once, each over the version Seen.
  void race(const std::vector<config::Environment> &Documents,
            std::uint64_t Seen);
  /// Takes in the commands that have ended.
  void poll();
  /// Waits for all commands; false when one does not end.
  [[nodiscard]] bool waitAll();

  [[nodiscard]] std::uint64_t accepted() const noexcept {
    return Versions_.size();
  }
  [[nodiscard]] std::uint64_t uncertain() const noexcept { return Uncertain_; }
  [[nodiscard]] std::uint64_t refused() const noexcept { return Refused_; }
  /// The highest version that an operator was told is accepted.
  [[nodiscard]] std::uint64_t highest() const noexcept { return Highest_; }
  /// Versions that two operators were told are theirs, and races over one
  /// version that more than one operator won.
  [[nodiscard]] std::uint64_t doubled() const;

private:
  struct Command {
    harness::Process Process_;
    /// The version that it wrote over; 0 when it did not say.
    std::uint64_t Seen_ = 0;
  };

  void start(const config::Environment &Document, std::uint64_t Seen);
  void takeIn(Command &Ended);

  harness::Cluster &World_;
  std::list<Command> Running_;
  std::vector<std::uint64_t> Versions_;
  /// Winners by the version that a race was over.
  std::map<std::uint64_t, std::uint64_t> Winners_;
  std::uint64_t Uncertain_ = 0;
  std::uint64_t Refused_ = 0;
  std::uint64_t Highest_ = 0;
};

} // namespace medlarmoor::bench::chaos

#endif // MEDLARMOOR_BENCH_CHAOS_OPERATORS_HPP
