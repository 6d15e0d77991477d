#ifndef MEDLARMOOR_PLATFORM_INSTANCE_HPP
#define MEDLARMOOR_PLATFORM_INSTANCE_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/ipv4.hpp>

#include <cstdint>
#include <vector>

namespace medlarmoor::platform {

/// One instance of the platform's list, which lags behind what is true.
struct Instance {
  EntryName Name_;
  DomainName Domain_;
  Ipv4 Address_;
  /// The platform is about to take the instance away.
  bool Leaving_ = false;
};

/// The list of instances as the platform gave it.
struct InstanceList {
  std::uint64_t Revision_ = 0;
  std::vector<Instance> Instances_;
};

} // namespace medlarmoor::platform

#endif // MEDLARMOOR_PLATFORM_INSTANCE_HPP
