#ifndef MEDLARMOOR_PEERS_MEMBER_HPP
#define MEDLARMOOR_PEERS_MEMBER_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/time.hpp>

namespace medlarmoor::peers {

/// Another instance, as known from gossip.
struct Member {
  /// Where it receives gossip; identifies it.
  Endpoint Address_;
  DomainName Domain_;
  /// Time since any instance last heard from it.
  Millis Age_{0};

  friend bool operator==(const Member &, const Member &) = default;
};

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_MEMBER_HPP
