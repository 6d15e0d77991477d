#ifndef MEDLARMOOR_DISCOVERY_UPSTREAM_CHANGES_HPP
#define MEDLARMOOR_DISCOVERY_UPSTREAM_CHANGES_HPP

#include <medlarmoor/discovery/upstream.hpp>

#include <vector>

namespace medlarmoor::discovery {

/// Changes of the listed upstreams between two revisions of the store.
struct UpstreamChanges {
  /// True if Listed_ and Unreadable_ hold all entries and replace any earlier
  /// list.
  bool IsFullSnapshot_ = false;
  /// Upstreams that were added or changed.
  std::vector<Upstream> Listed_;
  /// Upstreams that are no longer listed; empty if IsFullSnapshot_.
  std::vector<UpstreamName> Removed_;
  /// Upstreams whose entries cannot be read.
  std::vector<UpstreamName> Unreadable_{};
};

} // namespace medlarmoor::discovery

#endif // MEDLARMOOR_DISCOVERY_UPSTREAM_CHANGES_HPP
