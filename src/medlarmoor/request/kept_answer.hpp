#ifndef MEDLARMOOR_REQUEST_KEPT_ANSWER_HPP
#define MEDLARMOOR_REQUEST_KEPT_ANSWER_HPP

#include <medlarmoor/net/http_response.hpp>

namespace medlarmoor::request {

/// A whole answer of an upstream that is small enough to be kept for
/// duplicates of its request.
struct KeptAnswer {
  net::HttpResponse Response_;
};

/// Answers over this size are not kept, in bytes.
inline constexpr std::size_t KeptAnswerBytes = 4096;

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_KEPT_ANSWER_HPP
