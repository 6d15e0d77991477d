#ifndef MEDLARMOOR_UPSTREAM_ATTEMPT_END_HPP
#define MEDLARMOOR_UPSTREAM_ATTEMPT_END_HPP

namespace medlarmoor::upstream {

/// How one attempt at one upstream ended.
enum class AttemptEnd : unsigned char {
  /// The whole answer arrived.
  Whole,
  /// The upstream refused it before running it.
  Shed,
  /// No connection came about, so no byte reached the upstream.
  NotConnected,
  /// No whole answer arrived; it may have run.
  Failed,
  /// The caller left and the attempt was given up.
  Abandoned,
};

} // namespace medlarmoor::upstream

#endif // MEDLARMOOR_UPSTREAM_ATTEMPT_END_HPP
