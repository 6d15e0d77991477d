#ifndef MEDLARMOOR_DISCOVERY_CATALOG_ENTRY_HPP
#define MEDLARMOOR_DISCOVERY_CATALOG_ENTRY_HPP

#include <medlarmoor/affinity/tag.hpp>
#include <medlarmoor/core/store_revision.hpp>
#include <medlarmoor/discovery/upstream.hpp>

namespace medlarmoor::discovery {

/// State of one upstream in the catalog.
struct CatalogEntry {
  enum class State : unsigned char {
    /// The store lists it.
    Listed,
    /// Its entry in the store lapsed during an outage of the store; it may
    /// register again.
    Lapsed,
    /// Removed. Packets of its open flows are still delivered.
    Retired,
  };

  Upstream Upstream_;
  affinity::Tag Tag_;
  State State_ = State::Listed;
  /// Time of the last change of State_.
  TimePoint StateSince_{};
  /// Revision of the store at which the upstream last changed, as far as known.
  StoreRevision Revision_;
  /// Time at which WarmUp_ was reported.
  TimePoint ReportedAt_{};

  /// Returns true if new flows may be placed at the upstream.
  [[nodiscard]] bool acceptsNewFlows() const noexcept {
    return State_ != State::Retired && !Upstream_.Draining_;
  }
  /// Returns true if the upstream is still slow after its start.
  [[nodiscard]] bool warmingUp(TimePoint Now) const noexcept {
    return Now < ReportedAt_ + Upstream_.WarmUp_;
  }
};

} // namespace medlarmoor::discovery

#endif // MEDLARMOOR_DISCOVERY_CATALOG_ENTRY_HPP
