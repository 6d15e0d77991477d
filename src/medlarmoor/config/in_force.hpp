#ifndef MEDLARMOOR_CONFIG_IN_FORCE_HPP
#define MEDLARMOOR_CONFIG_IN_FORCE_HPP

#include <medlarmoor/config/environment.hpp>

#include <cstdint>
#include <memory>

namespace medlarmoor::config {

/// The document that an entry acts on, with its version. Immutable and shared
/// between threads; an entry only ever moves to a higher version.
struct InForce {
  ConfigVersion Version_;
  Environment Environment_;
  /// Hash of the parts that Environment_ was put together from, equal for equal
  /// documents in every process.
  std::uint64_t Digest_ = 0;
};
using InForcePtr = std::shared_ptr<const InForce>;

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_IN_FORCE_HPP
