#ifndef MEDLARMOOR_CONFIG_EDGE_SETTINGS_HPP
#define MEDLARMOOR_CONFIG_EDGE_SETTINGS_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/time.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace medlarmoor::config {

/// The settings of one edge instance.
struct EdgeSettings {
  EntryName Name_;
  DomainName Domain_;
  /// The local address of connections to the object store.
  Ipv4 Address_;
  /// Receives packets from routers.
  Endpoint Packets_;
  /// Answers readiness checks of routers.
  Endpoint Readiness_;
  /// The HTTP path of the readiness check.
  std::string ReadinessPath_ = "/ready";
  /// Serves metrics.
  Endpoint Metrics_;
  /// The address of the object store.
  Endpoint Store_;
  /// The Peers_ endpoints of other instances to start gossip with. The
  /// instances may be down.
  std::vector<Endpoint> Seeds_;
  /// Serves snapshots to other instances. All instances use the same port.
  Endpoint Peers_;
  /// Receives gossip from other instances. All instances use the same port.
  Endpoint Gossip_;
  /// The time between the stop signal and the kill signal.
  Millis GracePeriod_{6000};
  /// The time limit within which a route change must take effect.
  Millis ApplyLimit_{3000};
  /// The time limit after which a draining upstream must receive no new flows.
  Millis DrainLimit_{3000};
  /// The time limit after which an evacuated failure domain must receive no new
  /// flows; no value if evacuations are not read.
  std::optional<Millis> EvacuateLimit_;
  /// The maximum age of a flow.
  Millis MaxFlowAge_{60'000};
  /// Whether instances report their loads to each other and admit flows by
  /// them.
  bool AdmissionEnabled_ = false;
  /// By which factor the new flows at a cold upstream may exceed the rate of
  /// its service. Without this and WarmUpSlack_, there is no limit.
  std::optional<double> WarmUpOverage_;
  /// New flows per second that are allowed beyond that.
  std::optional<double> WarmUpSlack_;
  std::string LogLevel_ = "INFO";

  /// Returns the maximum age of the data read from the object store: the
  /// strictest of the time limits.
  [[nodiscard]] Millis maxStaleness() const noexcept {
    return std::min(
        {ApplyLimit_, DrainLimit_, EvacuateLimit_.value_or(Millis::max())});
  }
  /// Returns the addresses of the seeds with the gossip port.
  [[nodiscard]] std::vector<Endpoint> gossipSeeds() const {
    std::vector<Endpoint> Targets;
    for (const Endpoint Seed : Seeds_)
      Targets.emplace_back(Seed.address(), Gossip_.port());
    return Targets;
  }

  friend bool operator==(const EdgeSettings &, const EdgeSettings &) = default;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_EDGE_SETTINGS_HPP
