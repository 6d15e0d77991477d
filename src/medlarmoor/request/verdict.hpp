#ifndef MEDLARMOOR_REQUEST_VERDICT_HPP
#define MEDLARMOOR_REQUEST_VERDICT_HPP

#include <medlarmoor/request/kept_answer.hpp>
#include <medlarmoor/request/outcome.hpp>

#include <memory>
#include <string>

namespace medlarmoor::request {

/// What is known about a key, as its caller is told.
struct Verdict {
  Outcome Outcome_ = Outcome::Unknown;
  std::string Reason_;
  /// Whether sending the request again can help.
  bool Retry_ = false;
  /// The kept answer of a request that is done.
  std::shared_ptr<const KeptAnswer> Answer_;
  /// This entry is not the dispatcher; ask the one that now is.
  bool Moved_ = false;
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_VERDICT_HPP
