#ifndef MEDLARMOOR_EDGE_FORWARDER_OPTIONS_HPP
#define MEDLARMOOR_EDGE_FORWARDER_OPTIONS_HPP

#include <medlarmoor/admission/admission_limits.hpp>
#include <medlarmoor/placement/fleet_member.hpp>
#include <medlarmoor/placement/warm_up_bounds.hpp>

#include <cstddef>
#include <optional>

namespace medlarmoor::edge {

/// The optional parts of a Forwarder.
struct ForwarderOptions {
  /// This instance; needed if owners of upstreams are computed.
  placement::FleetMember Self_{};
  /// Unset if flows never wait for a free slot.
  std::optional<admission::AdmissionLimits> Admission_{};
  /// Unset if new flows at cold upstreams are not limited.
  std::optional<placement::WarmUpBounds> WarmUp_{};
  /// Number of other instances that the settings name.
  std::size_t Seeds_ = 0;
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_FORWARDER_OPTIONS_HPP
