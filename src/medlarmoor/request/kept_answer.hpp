#ifndef MEDLARMOOR_REQUEST_KEPT_ANSWER_HPP
#define MEDLARMOOR_REQUEST_KEPT_ANSWER_HPP

#include <medlarmoor/net/http_response.hpp>

namespace medlarmoor::request {

/// A complete response of an upstream that is small enough to be kept for
/// duplicates of its request.
struct KeptAnswer {
  net::HttpResponse Response_;
};

/// Maximum body size of a kept response, in bytes.
inline constexpr std::size_t MaxKeptAnswerBytes = 4096;

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_KEPT_ANSWER_HPP
