#ifndef MEDLARMOOR_MEMBERSHIP_LISTED_INSTANCE_HPP
#define MEDLARMOOR_MEMBERSHIP_LISTED_INSTANCE_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/ipv4.hpp>

namespace medlarmoor::membership {

/// One instance on the platform's list for a failure domain.
struct ListedInstance {
  EntryName Name_;
  Ipv4 Address_;
  /// True if the platform reports that the instance is leaving.
  bool Leaving_ = false;

  friend bool operator==(const ListedInstance &,
                         const ListedInstance &) = default;
};

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_LISTED_INSTANCE_HPP
