#ifndef MEDLARMOOR_MEMBERSHIP_LISTED_INSTANCE_HPP
#define MEDLARMOOR_MEMBERSHIP_LISTED_INSTANCE_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/ipv4.hpp>

namespace medlarmoor::membership {

/// One entry of the platform's list of instances of a failure domain.
struct ListedInstance {
  EntryName Name_;
  Ipv4 Address_;
  /// The platform says that it is leaving.
  bool Leaving_ = false;

  friend bool operator==(const ListedInstance &,
                         const ListedInstance &) = default;
};

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_LISTED_INSTANCE_HPP
