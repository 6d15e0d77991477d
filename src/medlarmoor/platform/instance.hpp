#ifndef MEDLARMOOR_PLATFORM_INSTANCE_HPP
#define MEDLARMOOR_PLATFORM_INSTANCE_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/ipv4.hpp>

#include <cstdint>
#include <vector>

namespace medlarmoor::platform {

/// One instance in the platform's list, which lags behind the actual state.
struct Instance {
  EntryName Name_;
  DomainName Domain_;
  Ipv4 Address_;
  /// The platform is about to remove the instance.
  bool Leaving_ = false;
};

/// The list of instances as returned by the platform.
struct InstanceList {
  std::uint64_t Revision_ = 0;
  std::vector<Instance> Instances_;
};

} // namespace medlarmoor::platform

#endif // MEDLARMOOR_PLATFORM_INSTANCE_HPP
