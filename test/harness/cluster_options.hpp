#ifndef MEDLARMOOR_HARNESS_CLUSTER_OPTIONS_HPP
#define MEDLARMOOR_HARNESS_CLUSTER_OPTIONS_HPP

#include <medlarmoor/config/fwd.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace medlarmoor::harness {

/// What a cluster of real processes is made of.
struct ClusterOptions {
  std::uint64_t Seed_ = 1;
  /// File in examples/ whose services and upstreams are run.
  std::string Document_ = "muscat.toml";
  /// Puts the fault proxy before the platform, entries and upstreams.
  bool Proxied_ = false;
  /// Changes the settings of every entry before it starts.
  std::function<void(config::Settings &)> Adjust_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_CLUSTER_OPTIONS_HPP
