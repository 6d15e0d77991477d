#ifndef MEDLARMOOR_PLACEMENT_OUTCOME_HPP
#define MEDLARMOOR_PLACEMENT_OUTCOME_HPP

namespace medlarmoor::placement {

/// Outcome of a request, as inferred from the client's packets.
enum class Outcome : unsigned char {
  /// The client received an answer of the usual size.
  Answered,
  /// The answer was far shorter than other answers of the route, which is
  /// typical of errors.
  ShortAnswer,
  /// The client gave up before it received any byte.
  Unanswered,
  /// Nothing was received within the route's latency objective. The request may
  /// still be in progress.
  Overdue,
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_OUTCOME_HPP
