#ifndef MEDLARMOOR_MEMBERSHIP_INTERNAL_LIST_READER_HPP
#define MEDLARMOOR_MEMBERSHIP_INTERNAL_LIST_READER_HPP

#include <medlarmoor/membership/listed_instance.hpp>

#include <optional>
#include <string>
#include <vector>

namespace medlarmoor::membership::internal {

/// Parses the platform's answer to GET /v1/instances. Skips malformed items and
/// returns nothing if the document itself is malformed.
[[nodiscard]] std::optional<std::vector<ListedInstance>>
parseInstances(const std::string &Body);

} // namespace medlarmoor::membership::internal

#endif // MEDLARMOOR_MEMBERSHIP_INTERNAL_LIST_READER_HPP
