#ifndef MEDLARMOOR_PLATFORM_PUBLISH_HPP
#define MEDLARMOOR_PLATFORM_PUBLISH_HPP

#include <medlarmoor/config/publisher.hpp>
#include <medlarmoor/core/endpoint.hpp>

#include <string>

namespace medlarmoor::platform {

/// Writes a document to the platform and waits for the outcome, for about
/// Timeout at most. Environment names the objects.
[[nodiscard]] config::PublishResult publish(Endpoint Platform,
                                            const std::string &Environment,
                                            config::Publication Document,
                                            Millis Timeout);

} // namespace medlarmoor::platform

#endif // MEDLARMOOR_PLATFORM_PUBLISH_HPP
