#ifndef MEDLARMOOR_HARNESS_JSON_HTTP_HPP
#define MEDLARMOOR_HARNESS_JSON_HTTP_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/net/http_request.hpp>
#include <medlarmoor/net/http_response.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace medlarmoor::harness {

/// A response with a JSON body.
[[nodiscard]] net::HttpResponse jsonResponse(unsigned Status,
                                             const nlohmann::json &Body);
/// The JSON body of the request; a discarded value when it is none.
[[nodiscard]] nlohmann::json jsonBody(const net::HttpRequest &Request);

/// Sends a JSON request and waits; the JSON of a 2xx answer, else nothing.
[[nodiscard]] std::optional<nlohmann::json>
callJson(Endpoint Where, std::string Method, std::string Target,
         const nlohmann::json &Body = nullptr, Millis Timeout = Seconds(2));

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_JSON_HTTP_HPP
