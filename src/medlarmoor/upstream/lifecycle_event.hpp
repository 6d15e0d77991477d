#ifndef MEDLARMOOR_UPSTREAM_LIFECYCLE_EVENT_HPP
#define MEDLARMOOR_UPSTREAM_LIFECYCLE_EVENT_HPP

namespace medlarmoor::upstream {

/// An event that changes the phase of an upstream.
enum class LifecycleEvent : unsigned char {
  /// It had enough successes to take its full share.
  Warmed,
  /// The document marks it as draining.
  Drained,
  /// The document no longer marks it as draining, or lists it again.
  Restored,
  /// The document no longer lists it.
  Removed,
  /// It stopped answering.
  FellSilent,
  /// It answered again after being silent.
  Answered,
};

} // namespace medlarmoor::upstream

#endif // MEDLARMOOR_UPSTREAM_LIFECYCLE_EVENT_HPP
