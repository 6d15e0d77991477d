#ifndef MEDLARMOOR_PLATFORM_PUBLISH_HPP
#define MEDLARMOOR_PLATFORM_PUBLISH_HPP

#include <medlarmoor/config/publisher.hpp>
#include <medlarmoor/core/endpoint.hpp>

#include <string>

namespace medlarmoor::platform {

/// Writes a document to the platform and waits for the outcome, at most about
/// Patience. Environment names the objects.
[[nodiscard]] config::PublishResult publish(Endpoint Platform,
                                            const std::string &Environment,
                                            config::Publication What,
                                            Millis Patience);

} // namespace medlarmoor::platform

#endif // MEDLARMOOR_PLATFORM_PUBLISH_HPP
