#ifndef MEDLARMOOR_UPSTREAM_LIFECYCLE_EVENT_HPP
#define MEDLARMOOR_UPSTREAM_LIFECYCLE_EVENT_HPP

namespace medlarmoor::upstream {

/// What moves an upstream through its phases.
enum class LifecycleEvent : unsigned char {
  /// It has succeeded often enough to take its whole share.
  Warmed,
  /// The document asks it to leave.
  Drained,
  /// The document no longer asks it to leave, or names it again.
  Restored,
  /// The document no longer names it.
  Removed,
  /// It stopped answering.
  FellSilent,
  /// A silent one answered again.
  Answered,
};

} // namespace medlarmoor::upstream

#endif // MEDLARMOOR_UPSTREAM_LIFECYCLE_EVENT_HPP
