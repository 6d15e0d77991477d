#ifndef MEDLARMOOR_CONFIG_PARTS_HPP
#define MEDLARMOOR_CONFIG_PARTS_HPP

#include <medlarmoor/config/environment.hpp>
#include <medlarmoor/config/part.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarmoor::config {

/// Returns the document with domains, services and upstreams sorted by name,
/// which is the form that entries hold.
[[nodiscard]] Environment sorted(Environment Document);

/// Splits a document into its parts.
[[nodiscard]] PartSet splitParts(const Environment &Document);

/// Assembles the document Name from its parts. Returns nullopt and sets Reason
/// if the parts are inconsistent.
[[nodiscard]] std::optional<Environment>
joinParts(const std::string &Name, const PartSet &Parts, std::string &Reason);

/// Returns a hash of the ids of the parts. The ids contain content hashes, so
/// the digest covers the contents as well.
[[nodiscard]] std::uint64_t digestOf(const PartSet &Parts);

/// Index parts by id. An index part lists the ids of the parts of some
/// services. A manifest lists only the index parts and therefore stays small,
/// and a change to a service replaces a single index part.
using IndexParts = std::map<PartId, std::string>;

/// Returns the index of the given parts. Equal parts have an equal index.
[[nodiscard]] IndexParts makeIndex(const std::vector<PartId> &Parts);

/// Returns the part ids that an index part lists. Returns nullopt and sets
/// Reason if Text does not match the hash in Id or is malformed.
[[nodiscard]] std::optional<std::vector<PartId>>
readIndex(const PartId &Id, const std::string &Text, std::string &Reason);

/// Returns the ids of the parts, sorted.
[[nodiscard]] std::vector<PartId> idsOf(const PartSet &Parts);

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_PARTS_HPP
