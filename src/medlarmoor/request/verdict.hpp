#ifndef MEDLARMOOR_REQUEST_VERDICT_HPP
#define MEDLARMOOR_REQUEST_VERDICT_HPP

#include <medlarmoor/request/kept_answer.hpp>
#include <medlarmoor/request/outcome.hpp>

#include <memory>
#include <string>

namespace medlarmoor::request {

/// What is known about a key, in the form that is reported to its caller.
struct Verdict {
  Outcome Outcome_ = Outcome::Unknown;
  std::string Reason_;
  /// Whether resending the request can help.
  bool Retryable_ = false;
  /// The kept response of a completed request.
  std::shared_ptr<const KeptAnswer> Answer_;
  /// This entry is not the dispatcher; the request belongs to another entry.
  bool NotDispatcher_ = false;
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_VERDICT_HPP
