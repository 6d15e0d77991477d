#ifndef MEDLARMOOR_CONFIG_ACTIVE_CONFIG_HPP
#define MEDLARMOOR_CONFIG_ACTIVE_CONFIG_HPP

#include <medlarmoor/config/environment.hpp>

#include <cstdint>
#include <memory>

namespace medlarmoor::config {

/// The environment document that an entry applies, with its version. Instances
/// are immutable and shared between threads. An entry replaces its active
/// configuration only by one of a higher version.
struct ActiveConfig {
  ConfigVersion Version_;
  Environment Environment_;
  /// Hash of the ids of the parts that Environment_ was assembled from. Equal
  /// documents have equal digests in every process.
  std::uint64_t Digest_ = 0;
};
using ActiveConfigPtr = std::shared_ptr<const ActiveConfig>;

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_ACTIVE_CONFIG_HPP
