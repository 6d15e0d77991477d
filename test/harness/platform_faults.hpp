#ifndef MEDLARMOOR_HARNESS_PLATFORM_FAULTS_HPP
#define MEDLARMOOR_HARNESS_PLATFORM_FAULTS_HPP

#include <medlarmoor/core/time.hpp>

#include <cstdint>

namespace medlarmoor::harness {

/// The switches of the platform stand-in.
struct PlatformFaults {
  /// Answers 503 to every call.
  bool Outage_ = false;
  /// Takes calls and never answers them.
  bool Hang_ = false;
  /// Every answer waits this long.
  Millis Delay_{0};
  /// Each write of this number takes effect and its connection then closes
  /// without an answer; 0 for none.
  std::uint32_t LoseAnswerEvery_ = 0;
  /// Reads and lists are answered with the state of this long ago.
  Millis Stale_{0};
  /// Waiting watches never answer, not even at their timeout.
  bool SilenceWatches_ = false;
  /// The list of instances shows the state of this long ago.
  Millis ListLag_{0};
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_PLATFORM_FAULTS_HPP
