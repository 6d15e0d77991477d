#ifndef MEDLARMOOR_ROUTING_REQUEST_KIND_HPP
#define MEDLARMOOR_ROUTING_REQUEST_KIND_HPP

namespace medlarmoor::routing {

/// What the requests inside a route's flows are.
enum class RequestKind : unsigned char {
  /// Not idempotent: runs at most once.
  Unsafe,
  /// Idempotent with a small answer.
  Safe,
  /// Idempotent with a large answer.
  Download,
};

} // namespace medlarmoor::routing

#endif // MEDLARMOOR_ROUTING_REQUEST_KIND_HPP
