#ifndef MEDLARMOOR_REQUEST_INTERNAL_RESPONSES_HPP
#define MEDLARMOOR_REQUEST_INTERNAL_RESPONSES_HPP

#include <medlarmoor/core/fwd.hpp>
#include <medlarmoor/net/http_response.hpp>
#include <medlarmoor/request/verdict.hpp>

#include <string>

namespace medlarmoor::request::internal {

/// Returns the response to a submission that ended with Result: the answer of
/// the upstream if Result holds it, otherwise outcome and reason as JSON.
[[nodiscard]] net::HttpResponse responseTo(const Verdict &Result);
/// Returns the response to a look-up of a key.
[[nodiscard]] net::HttpResponse lookUpResponse(const Verdict &Result);
/// Returns the response to bad input, with all findings about it.
[[nodiscard]] net::HttpResponse
findingsResponse(unsigned Status, const Findings &Found, Outcome Result);
/// Returns a response with the JSON text Body.
[[nodiscard]] net::HttpResponse jsonResponse(unsigned Status, std::string Body);

} // namespace medlarmoor::request::internal

#endif // MEDLARMOOR_REQUEST_INTERNAL_RESPONSES_HPP
