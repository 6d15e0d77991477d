#ifndef MEDLARMOOR_UPSTREAM_LIFECYCLE_PHASE_HPP
#define MEDLARMOOR_UPSTREAM_LIFECYCLE_PHASE_HPP

#include <cstddef>

namespace medlarmoor::upstream {

/// Where an upstream stands in its life.
enum class LifecyclePhase : unsigned char {
  /// New or back from silence: it gets a share that grows with its successes.
  Warming,
  /// It gets its whole share.
  Ready,
  /// It answers nothing; a probe now and then tells when it is back.
  Silent,
  /// It gets no new work and finishes what it has.
  Draining,
  /// No longer in the document.
  Gone,
};

/// The phase's name in metrics and explanations.
[[nodiscard]] constexpr const char *name(LifecyclePhase Phase) noexcept {
  constexpr const char *Names[] = {"warming", "ready", "silent", "draining",
                                   "gone"};
  return Names[static_cast<std::size_t>(Phase)];
}

} // namespace medlarmoor::upstream

#endif // MEDLARMOOR_UPSTREAM_LIFECYCLE_PHASE_HPP
