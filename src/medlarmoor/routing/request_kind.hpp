#ifndef MEDLARMOOR_ROUTING_REQUEST_KIND_HPP
#define MEDLARMOOR_ROUTING_REQUEST_KIND_HPP

namespace medlarmoor::routing {

/// Kind of the requests that the flows of a route carry.
enum class RequestKind : unsigned char {
  /// Not idempotent; must be executed at most once.
  Unsafe,
  /// Idempotent with a small answer.
  Safe,
  /// Idempotent with a large answer.
  Download,
};

} // namespace medlarmoor::routing

#endif // MEDLARMOOR_ROUTING_REQUEST_KIND_HPP
