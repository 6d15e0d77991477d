#ifndef MEDLARMOOR_CONFIG_EDGE_SETTINGS_HPP
#define MEDLARMOOR_CONFIG_EDGE_SETTINGS_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/time.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace medlarmoor::config {

/// Settings of one edge instance.
struct EdgeSettings {
  EntryName Name_;
  DomainName Domain_;
  Ipv4 Address_;
  /// Where routers send packets.
  Endpoint Packets_;
  /// Where routers ask whether this instance takes traffic.
  Endpoint Readiness_;
  /// The path of that question.
  std::string ReadinessPath_ = "/ready";
  /// Where metrics are served.
  Endpoint Metrics_;
  /// The object store.
  Endpoint Store_;
  /// Other instances to begin gossip with, at their Peers_; they may be down.
  std::vector<Endpoint> Seeds_;
  /// Where other instances fetch snapshots. The port is the same on all.
  Endpoint Peers_;
  /// Where other instances send gossip. The port is the same on all.
  Endpoint Gossip_;
  /// Between the stop signal and the kill.
  Millis Grace_{6000};
  /// A change of the routes must be in force this soon.
  Millis ApplyLimit_{3000};
  /// An upstream that drains must get no new flows this soon.
  Millis DrainLimit_{3000};
  /// No flow is older than this.
  Millis FlowAge_{60'000};
  std::string LogLevel_ = "INFO";

  /// The store must be known at least this recently.
  [[nodiscard]] Millis freshness() const noexcept {
    return std::min(ApplyLimit_, DrainLimit_);
  }
  /// Where the seeds receive gossip.
  [[nodiscard]] std::vector<Endpoint> gossipSeeds() const {
    std::vector<Endpoint> Out;
    for (const Endpoint Each : Seeds_)
      Out.emplace_back(Each.address(), Gossip_.port());
    return Out;
  }

  friend bool operator==(const EdgeSettings &, const EdgeSettings &) = default;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_EDGE_SETTINGS_HPP
