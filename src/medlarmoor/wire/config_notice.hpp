#ifndef MEDLARMOOR_WIRE_CONFIG_NOTICE_HPP
#define MEDLARMOOR_WIRE_CONFIG_NOTICE_HPP

#include <medlarmoor/core/ids.hpp>

namespace medlarmoor::wire {

/// Announces, without waiting for the next heartbeat, that the sender has
/// adopted a configuration version. A receiver with a lower version pulls it.
struct ConfigNotice {
  ConfigVersion Version_;
  /// True if the sender is responsible for watching the platform on behalf of
  /// the other entries and cannot reach it.
  bool PlatformLost_ = false;

  friend bool operator==(const ConfigNotice &, const ConfigNotice &) = default;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_CONFIG_NOTICE_HPP
