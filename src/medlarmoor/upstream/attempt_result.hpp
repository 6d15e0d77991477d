#ifndef MEDLARMOOR_UPSTREAM_ATTEMPT_RESULT_HPP
#define MEDLARMOOR_UPSTREAM_ATTEMPT_RESULT_HPP

namespace medlarmoor::upstream {

/// The result of one attempt at one upstream.
enum class AttemptResult : unsigned char {
  /// The complete response arrived.
  Complete,
  /// The upstream refused the request without running it.
  Shed,
  /// No connection was established, so no byte reached the upstream.
  NotConnected,
  /// No complete response arrived; the request may have run.
  Failed,
  /// The attempt was abandoned because its caller left.
  Abandoned,
};

} // namespace medlarmoor::upstream

#endif // MEDLARMOOR_UPSTREAM_ATTEMPT_RESULT_HPP
