#ifndef MEDLARMOOR_REQUEST_SUBMISSION_HPP
#define MEDLARMOOR_REQUEST_SUBMISSION_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/request/method_class.hpp>

#include <cstdint>

namespace medlarmoor::request {

/// A checked request of a caller, without its body.
struct Submission {
  ServiceName Service_;
  MethodClass Class_ = MethodClass::Idempotent;
  IdempotencyKey Key_;
  /// When the key was minted, on the clock of whoever minted it.
  WallTime Minted_;
  /// Which submission of its key this is, counted by the caller from 1. Only
  /// a higher one opens a key again that was refused.
  std::uint32_t Try_ = 1;
  /// After this the caller does not wait any more.
  TimePoint Deadline_;
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_SUBMISSION_HPP
