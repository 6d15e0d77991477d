#ifndef MEDLARMOOR_REQUEST_INTERNAL_RESPONSES_HPP
#define MEDLARMOOR_REQUEST_INTERNAL_RESPONSES_HPP

#include <medlarmoor/core/fwd.hpp>
#include <medlarmoor/net/http_response.hpp>
#include <medlarmoor/request/verdict.hpp>

#include <string>

namespace medlarmoor::request::internal {

/// The response to a submission that ended with Of and has no answer of an
/// upstream to pass on.
[[nodiscard]] net::HttpResponse responseTo(const Verdict &Of);
/// The response to a question about a key.
[[nodiscard]] net::HttpResponse lookUpResponse(const Verdict &Of);
/// The response to bad input.
[[nodiscard]] net::HttpResponse
findingsResponse(unsigned Status, const Findings &All, Outcome Of);
/// A response of the entry itself, as JSON text.
[[nodiscard]] net::HttpResponse jsonResponse(unsigned Status, std::string Body);

} // namespace medlarmoor::request::internal

#endif // MEDLARMOOR_REQUEST_INTERNAL_RESPONSES_HPP
