#ifndef MEDLARMOOR_CTL_INTERNAL_PUBLISH_HPP
#define MEDLARMOOR_CTL_INTERNAL_PUBLISH_HPP

#include <medlarmoor/config/publisher_action.hpp>
#include <medlarmoor/ctl/outcome.hpp>

#include <string>

namespace medlarmoor::ctl::internal {

/// What a write of Environment came to.
[[nodiscard]] Outcome reportPublish(const std::string &Environment,
                                    const config::PublishResult &Result);

/// Random text to know one's own write by.
[[nodiscard]] std::string makeToken();

} // namespace medlarmoor::ctl::internal

#endif // MEDLARMOOR_CTL_INTERNAL_PUBLISH_HPP
