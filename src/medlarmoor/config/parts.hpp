#ifndef MEDLARMOOR_CONFIG_PARTS_HPP
#define MEDLARMOOR_CONFIG_PARTS_HPP

#include <medlarmoor/config/environment.hpp>
#include <medlarmoor/config/part.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarmoor::config {

/// The document with domains, services and upstreams sorted by name: the form
/// in which entries hold it.
[[nodiscard]] Environment sorted(Environment Each);

/// Cuts a document into its parts.
[[nodiscard]] PartSet splitParts(const Environment &Each);

/// Puts a document together; nothing, with Reason set, when the parts do not
/// fit each other.
[[nodiscard]] std::optional<Environment>
joinParts(const std::string &Name, const PartSet &Parts, std::string &Reason);

/// Hash of the ids of the parts, and so of their contents.
[[nodiscard]] std::uint64_t digestOf(const PartSet &Parts);

/// Index parts by id. Each lists the ids of the parts of some services, so
/// that a manifest that names the index parts stays small and a change
/// replaces one index part.
using IndexParts = std::map<PartId, std::string>;

/// The index over the given parts; equal parts give an equal index.
[[nodiscard]] IndexParts makeIndex(const std::vector<PartId> &Parts);

/// The part ids that an index part lists; nothing, with Reason set, when Text
/// is not what Id names or is malformed.
[[nodiscard]] std::optional<std::vector<PartId>>
readIndex(const PartId &Id, const std::string &Text, std::string &Reason);

/// The ids of a set, sorted.
[[nodiscard]] std::vector<PartId> idsOf(const PartSet &Parts);

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_PARTS_HPP
