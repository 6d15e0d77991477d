#include <medlarmoor/flow/service_registry.hpp>

#include <vector>

namespace medlarmoor::flow {

ServiceRegistry::ServiceRegistry(DomainName Domain)
    : Domain_(std::move(Domain)) {}

bool ServiceRegistry::adopt(const config::InForce &Document, TimePoint Now) {
  if (Version_ && Document.Version_ <= *Version_)
    return false;
  Version_ = Document.Version_;
  ByAddress_.clear();
  std::vector<bool> Present(Services_.size() +
                            Document.Environment_.Services_.size());
  for (const config::Service &Each : Document.Environment_.Services_) {
    const ServiceIndex Index = findOrAdd(Each.Name_);
    Present[Index] = true;
    Services_[Index].adopt(Each, Domain_, Document.Version_, Now);
    for (const Endpoint &Address : Each.Addresses_)
      ByAddress_[Address] = Index;
  }
  for (std::size_t I = 0; I < Services_.size(); ++I)
    if (!Present[I])
      Services_[I].remove();
  markReusedAddresses(Document.Environment_);
  return true;
}

void ServiceRegistry::retire(TimePoint Now, Nanos Kept) {
  for (ServiceState &Each : Services_)
    Each.retire(Now, Kept);
}

std::optional<ServiceIndex>
ServiceRegistry::find(Endpoint Destination) const noexcept {
  const auto At = ByAddress_.find(Destination);
  if (At == ByAddress_.end())
    return std::nullopt;
  return At->second;
}

std::optional<ServiceIndex>
ServiceRegistry::findByWireId(std::uint32_t WireId) const noexcept {
  const auto At = ByWireId_.find(WireId);
  if (At == ByWireId_.end())
    return std::nullopt;
  return At->second;
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
  boost::unordered_flat_map<Endpoint, ServiceIndex, std::hash<Endpoint>> Owner;
  for (const config::Service &Each : Document.Services_)
    for (const config::Upstream &One : Each.Upstreams_)
      Owner[One.Packets_] = findOrAdd(Each.Name_);
  for (std::size_t I = 0; I < Services_.size(); ++I) {
    for (UpstreamState &Each : Services_[I].upstreams()) {
      const auto At = Owner.find(Each.Config_.Packets_);
      Each.AddressReused_ = At != Owner.end() && At->second != I;
    }
  }
}

} // namespace medlarmoor::flow
