#ifndef MEDLARMOOR_CONFIG_FAILURE_DOMAIN_HPP
#define MEDLARMOOR_CONFIG_FAILURE_DOMAIN_HPP

#include <medlarmoor/core/ids.hpp>

namespace medlarmoor::config {

/// A failure domain and the region that contains it.
struct FailureDomain {
  DomainName Name_;
  RegionName Region_;

  friend bool operator==(const FailureDomain &,
                         const FailureDomain &) = default;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_FAILURE_DOMAIN_HPP
