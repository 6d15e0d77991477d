#ifndef MEDLARMOOR_FLOW_SERVICE_REGISTRY_HPP
#define MEDLARMOOR_FLOW_SERVICE_REGISTRY_HPP

#include <medlarmoor/config/active_config.hpp>
#include <medlarmoor/flow/service_state.hpp>

#include <boost/unordered/unordered_flat_map.hpp>

#include <deque>
#include <optional>

namespace medlarmoor::flow {

/// The services of the document in force, looked up by address. A service keeps
/// its index for as long as the entry runs.
class ServiceRegistry {
public:
  /// Domain is the entry's own failure domain.
  explicit ServiceRegistry(DomainName Domain);

  /// Adopts a document whose version is higher than the current one. Returns
  /// false and changes nothing for any other document.
  bool adopt(const config::ActiveConfig &Document, TimePoint Now);
  /// Removes tables that were replaced longer than Retention ago.
  void retire(TimePoint Now, Nanos Retention);

  [[nodiscard]] bool empty() const noexcept { return !Version_; }
  [[nodiscard]] ConfigVersion version() const noexcept {
    return Version_.value_or(ConfigVersion(0));
  }
  [[nodiscard]] std::optional<ServiceIndex>
  find(Endpoint Destination) const noexcept;
  [[nodiscard]] std::optional<ServiceIndex>
  findByWireId(std::uint32_t WireId) const noexcept;
  [[nodiscard]] ServiceState &at(ServiceIndex Index) noexcept {
    return Services_[Index];
  }
  [[nodiscard]] std::size_t size() const noexcept { return Services_.size(); }

private:
  [[nodiscard]] ServiceIndex findOrAdd(const ServiceName &Name);
  void markReusedAddresses(const config::Environment &Document);

  DomainName Domain_;
  std::optional<ConfigVersion> Version_;
  std::deque<ServiceState> Services_;
  boost::unordered_flat_map<Endpoint, ServiceIndex, std::hash<Endpoint>>
      ByAddress_;
  boost::unordered_flat_map<std::uint32_t, ServiceIndex> ByWireId_;
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_SERVICE_REGISTRY_HPP
