#include <medlarmoor/flow/service_registry.hpp>

#include <vector>

namespace medlarmoor::flow {

ServiceRegistry::ServiceRegistry(DomainName Domain)
    : Domain_(std::move(Domain)) {}

bool ServiceRegistry::adopt(const config::ActiveConfig &Document,
                            TimePoint Now) {
  if (Version_ && Document.Version_ <= *Version_)
    return false;
  Version_ = Document.Version_;
  ByAddress_.clear();
  std::vector<bool> Present(Services_.size() +
                            Document.Environment_.Services_.size());
  for (const config::Service &Service : Document.Environment_.Services_) {
    const ServiceIndex Index = findOrAdd(Service.Name_);
    Present[Index] = true;
    Services_[Index].adopt(Service, Domain_, Document.Version_, Now);
    for (const Endpoint &Address : Service.Addresses_)
      ByAddress_[Address] = Index;
  }
  for (std::size_t I = 0; I < Services_.size(); ++I)
    if (!Present[I])
      Services_[I].remove();
  markReusedAddresses(Document.Environment_);
  return true;
}

void ServiceRegistry::retire(TimePoint Now, Nanos Retention) {
  for (ServiceState &Service : Services_)
    Service.retire(Now, Retention);
}

std::optional<ServiceIndex>
ServiceRegistry::find(Endpoint Destination) const noexcept {
  const auto Found = ByAddress_.find(Destination);
  if (Found == ByAddress_.end())
    return std::nullopt;
  return Found->second;
}

std::optional<ServiceIndex>
ServiceRegistry::findByWireId(std::uint32_t WireId) const noexcept {
  const auto Found = ByWireId_.find(WireId);
  if (Found == ByWireId_.end())
    return std::nullopt;
  return Found->second;
}

ServiceIndex ServiceRegistry::findOrAdd(const ServiceName &Name) {
  const ServiceState Fresh(Name);
  if (const auto Known = findByWireId(Fresh.wireId());
      Known && Services_[*Known].name() == Name)
    return *Known;
  const auto Index = static_cast<ServiceIndex>(Services_.size());
  Services_.emplace_back(Name);
  ByWireId_[Fresh.wireId()] = Index;
  return Index;
}

void ServiceRegistry::markReusedAddresses(const config::Environment &Document) {
  boost::unordered_flat_map<Endpoint, ServiceIndex, std::hash<Endpoint>> Owners;
  for (const config::Service &Service : Document.Services_)
    for (const config::Upstream &Upstream : Service.Upstreams_)
      Owners[Upstream.Packets_] = findOrAdd(Service.Name_);
  for (std::size_t I = 0; I < Services_.size(); ++I) {
    for (UpstreamState &Upstream : Services_[I].upstreams()) {
      const auto Owner = Owners.find(Upstream.Config_.Packets_);
      Upstream.AddressReused_ = Owner != Owners.end() && Owner->second != I;
    }
  }
}

} // namespace medlarmoor::flow
