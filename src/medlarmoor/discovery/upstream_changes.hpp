#ifndef MEDLARMOOR_DISCOVERY_UPSTREAM_CHANGES_HPP
#define MEDLARMOOR_DISCOVERY_UPSTREAM_CHANGES_HPP

#include <medlarmoor/discovery/upstream.hpp>

#include <vector>

namespace medlarmoor::discovery {

/// What became of the listed upstreams between two revisions of the store.
struct UpstreamChanges {
  /// These are all that are listed, whatever was listed before.
  bool IsFullSnapshot_ = false;
  /// Listed now, or listed with other values.
  std::vector<Upstream> Listed_;
  /// No longer listed; empty when Whole_.
  std::vector<UpstreamName> Removed_;
};

} // namespace medlarmoor::discovery

#endif // MEDLARMOOR_DISCOVERY_UPSTREAM_CHANGES_HPP
