#ifndef MEDLARMOOR_CONFIG_PART_HPP
#define MEDLARMOOR_CONFIG_PART_HPP

#include <medlarmoor/config/failure_domain.hpp>
#include <medlarmoor/config/service.hpp>
#include <medlarmoor/core/strong.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace medlarmoor::config {

/// "{service}.{failure domain}.{content hash}", where "_" means no service or
/// no domain. Equal contents have equal ids in all environments.
using PartId = Strong<std::string, struct PartIdTag>;

/// The upstreams of one service in one failure domain, sorted by name.
struct UpstreamsPart {
  ServiceName Service_;
  DomainName Domain_;
  std::vector<Upstream> Upstreams_;
};

/// A service without its upstreams.
struct ServicePart {
  ServiceName Name_;
  std::vector<Endpoint> Addresses_;
  ServicePolicy Policy_;
};

/// An immutable part of a document, both as text and parsed.
struct Part {
  /// JSON with sorted keys and without spaces.
  std::string Text_;
  std::variant<FailureDomain, ServicePart, UpstreamsPart> Content_;
};
using PartPtr = std::shared_ptr<const Part>;

/// The parts that make up one complete document.
using PartSet = std::map<PartId, PartPtr>;

/// Parses the part Id from its JSON text. Returns null and sets Reason if the
/// text does not match the hash in Id or does not have the documented
/// structure.
[[nodiscard]] PartPtr readPart(const PartId &Id, std::string Text,
                               std::string &Reason);

/// Returns the id of the part with the given service, failure domain and text.
[[nodiscard]] PartId makePartId(const std::string &Service,
                                const std::string &Domain,
                                const std::string &Text);

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_PART_HPP
