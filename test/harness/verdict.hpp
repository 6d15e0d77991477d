#ifndef MEDLARMOOR_HARNESS_VERDICT_HPP
#define MEDLARMOOR_HARNESS_VERDICT_HPP

#include <medlarmoor/core/time.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace medlarmoor::harness {

class Cluster;

/// What callers and upstreams saw of one run, taken together; nothing in it
/// comes from the entries.
struct Verdict {
  /// Callers and upstreams that did not answer; what they saw is missing.
  std::uint64_t Missing_ = 0;
  std::uint64_t Flows_ = 0;
  std::uint64_t FlowsRefused_ = 0;
  std::uint64_t FlowsUnopened_ = 0;
  std::uint64_t BrokenFlows_ = 0;
  std::uint64_t MisroutedPackets_ = 0;
  std::uint64_t MalformedPackets_ = 0;
  std::uint64_t Requests_ = 0;
  std::uint64_t Done_ = 0;
  /// Requests that ran and whose answer was lost on the way.
  std::uint64_t DoneBefore_ = 0;
  std::uint64_t NotRun_ = 0;
  std::uint64_t Unknown_ = 0;
  /// Requests that no entry answered whole, however often it was called.
  std::uint64_t Unanswered_ = 0;
  /// Calls that were taken and got no whole answer.
  std::uint64_t CutCalls_ = 0;
  std::uint64_t WrongOrPartialAnswers_ = 0;
  /// Keys of class `once` that ran more than once.
  std::uint64_t DoubleRuns_ = 0;
  /// Keys that were told `not_run` though an upstream ran them.
  std::uint64_t FalseNotRun_ = 0;
  /// Keys that were told `done` though no upstream ran them.
  std::uint64_t FalseDone_ = 0;
  /// One line for each thing that went wrong.
  std::vector<std::string> Details_;
};

/// Asks all callers and upstreams of the cluster. Moments in the details are
/// told from Start on.
[[nodiscard]] Verdict gatherVerdict(const Cluster &World, TimePoint Start = {});

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_VERDICT_HPP
