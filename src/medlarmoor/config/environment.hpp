#ifndef MEDLARMOOR_CONFIG_ENVIRONMENT_HPP
#define MEDLARMOOR_CONFIG_ENVIRONMENT_HPP

#include <medlarmoor/config/failure_domain.hpp>
#include <medlarmoor/config/service.hpp>

#include <string>
#include <vector>

namespace medlarmoor::config {

/// A validated environment document.
struct Environment {
  /// For example "muscat-trial".
  std::string Name_;
  std::vector<FailureDomain> Domains_;
  std::vector<Service> Services_;

  friend bool operator==(const Environment &, const Environment &) = default;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_ENVIRONMENT_HPP
