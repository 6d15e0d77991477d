#ifndef MEDLARMOOR_WIRE_CONFIG_NOTICE_HPP
#define MEDLARMOOR_WIRE_CONFIG_NOTICE_HPP

#include <medlarmoor/core/ids.hpp>

namespace medlarmoor::wire {

/// Tells at once, ahead of the next heartbeat, that the sender has adopted a
/// version; the receiver pulls it when its own is lower.
struct ConfigNotice {
  ConfigVersion Version_;
  /// The sender should watch the platform for the others and can't reach it.
  bool PlatformLost_ = false;

  friend bool operator==(const ConfigNotice &, const ConfigNotice &) = default;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_CONFIG_NOTICE_HPP
