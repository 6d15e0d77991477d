#ifndef MEDLARMOOR_NET_HTTP_LIMITS_HPP
#define MEDLARMOOR_NET_HTTP_LIMITS_HPP

#include <medlarmoor/core/time.hpp>

#include <cstddef>

namespace medlarmoor::net {

/// What one HTTP server lets its clients use.
struct HttpLimits {
  std::size_t BodyBytes_ = 2U * 1024U * 1024U;
  std::size_t Connections_ = 1024;
  /// A connection that sends no whole request for this long is closed.
  Millis Idle_ = Seconds(30);
};

} // namespace medlarmoor::net

#endif // MEDLARMOOR_NET_HTTP_LIMITS_HPP
