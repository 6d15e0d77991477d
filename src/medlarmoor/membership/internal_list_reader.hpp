#ifndef MEDLARMOOR_MEMBERSHIP_INTERNAL_LIST_READER_HPP
#define MEDLARMOOR_MEMBERSHIP_INTERNAL_LIST_READER_HPP

#include <medlarmoor/membership/listed_instance.hpp>

#include <optional>
#include <string>
#include <vector>

namespace medlarmoor::membership::internal {

/// Reads the platform's answer to GET /v1/instances. Items that are malformed
/// are left out; nothing when the whole is.
[[nodiscard]] std::optional<std::vector<ListedInstance>>
parseInstances(const std::string &Body);

} // namespace medlarmoor::membership::internal

#endif // MEDLARMOOR_MEMBERSHIP_INTERNAL_LIST_READER_HPP
