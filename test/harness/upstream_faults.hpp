#ifndef MEDLARMOOR_HARNESS_UPSTREAM_FAULTS_HPP
#define MEDLARMOOR_HARNESS_UPSTREAM_FAULTS_HPP

#include <medlarmoor/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace medlarmoor::harness {

/// The switches of one upstream stand-in.
struct UpstreamFaults {
  /// Mean service time of a request.
  Millis Service_{50};
  /// Divides the service time; below 1 is slow.
  double Speed_ = 1.0;
  /// Reports show the load of this long ago.
  Millis LoadLag_{0};
  /// Reports stay as they are and claim to be fresh.
  bool LoadFreeze_ = false;
  /// Reports claim this many running requests.
  std::optional<std::uint64_t> LoadLie_;
  /// Refuses every request before it runs.
  bool Shed_ = false;
  /// For this long after it was set, requests run four times as long.
  Millis ColdStart_{0};
  /// Takes packets and requests and never answers.
  bool Silent_ = false;
  /// Sends half of each answer and closes.
  bool Cut_ = false;
  /// Sends each of two answers to the other's request.
  bool Cross_ = false;
  /// Sends each answer after its deadline.
  bool Late_ = false;
  /// Sends each answer twice.
  bool Duplicate_ = false;
  /// Bytes of filler in each answer.
  std::size_t AnswerBytes_ = 64;
  /// Reports the state draining.
  bool Draining_ = false;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_UPSTREAM_FAULTS_HPP
