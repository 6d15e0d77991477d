#ifndef MEDLARMOOR_UPSTREAM_LIFECYCLE_PHASE_HPP
#define MEDLARMOOR_UPSTREAM_LIFECYCLE_PHASE_HPP

#include <cstddef>

namespace medlarmoor::upstream {

/// The phase of an upstream in its lifecycle.
enum class LifecyclePhase : unsigned char {
  /// New, or answering again after silence: its share grows with its successes.
  Warming,
  /// It gets its full share.
  Ready,
  /// It does not answer; occasional probes detect when it answers again.
  Silent,
  /// It gets no new work and completes the work in flight.
  Draining,
  /// It is no longer listed in the document.
  Gone,
};

/// Returns the name of the phase in metrics and explanations.
[[nodiscard]] constexpr const char *name(LifecyclePhase Phase) noexcept {
  constexpr const char *Names[] = {"warming", "ready", "silent", "draining",
                                   "gone"};
  return Names[static_cast<std::size_t>(Phase)];
}

} // namespace medlarmoor::upstream

#endif // MEDLARMOOR_UPSTREAM_LIFECYCLE_PHASE_HPP
