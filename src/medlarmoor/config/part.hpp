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

/// "{service}.{failure domain}.{content hash}", where "_" stands for no
/// service or no domain. Equal contents have equal ids in all environments.
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

/// An immutable piece of a document, both as text and read.
struct Part {
  /// JSON with sorted keys and without spaces.
  std::string Text_;
  std::variant<FailureDomain, ServicePart, UpstreamsPart> Content_;
};
using PartPtr = std::shared_ptr<const Part>;

/// The parts that make up one whole document.
using PartSet = std::map<PartId, PartPtr>;

/// Reads the part Id from its JSON text; null, with Reason set, when the text
/// is not what Id names or does not have the documented shape.
[[nodiscard]] PartPtr readPart(const PartId &Id, std::string Text,
                               std::string &Reason);

/// The id of a part by what it is about and its text.
[[nodiscard]] PartId makePartId(const std::string &Service,
                                const std::string &Domain,
                                const std::string &Text);

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_PART_HPP
