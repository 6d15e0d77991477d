#ifndef MEDLARMOOR_CONFIG_PORTS_HPP
#define MEDLARMOOR_CONFIG_PORTS_HPP

#include <cstdint>

namespace medlarmoor::config {

/// The ports of an entry instance, the same on all entries of an environment.
struct Ports {
  /// UDP: encapsulated packets from the fabric.
  std::uint16_t Flow_ = 7100;
  /// UDP: encapsulated packets from other entries.
  std::uint16_t Peer_ = 7101;
  /// UDP: signed control messages between entries.
  std::uint16_t Control_ = 7102;
  /// TCP: requests from callers (HTTP).
  std::uint16_t Requests_ = 7180;
  /// TCP: signed messages between entries (HTTP).
  std::uint16_t Internal_ = 7181;
  /// TCP: the active configuration, for other entries (HTTP).
  std::uint16_t Config_ = 7183;
  /// TCP: metrics, health, status and explain (HTTP).
  std::uint16_t Admin_ = 7182;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_PORTS_HPP
