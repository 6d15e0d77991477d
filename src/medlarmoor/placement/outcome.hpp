#ifndef MEDLARMOOR_PLACEMENT_OUTCOME_HPP
#define MEDLARMOOR_PLACEMENT_OUTCOME_HPP

namespace medlarmoor::placement {

/// What became of a request, as far as the client's packets tell.
enum class Outcome : unsigned char {
  /// The client received an answer of the usual size.
  Answered,
  /// The answer was far shorter than others of the route, as errors are.
  ShortAnswer,
  /// The client gave up before anything was received.
  Unanswered,
  /// Nothing was received within the route's latency objective; the request
  /// may still be at work.
  Overdue,
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_OUTCOME_HPP
