#ifndef MEDLARMOOR_REQUEST_SUBMISSION_HPP
#define MEDLARMOOR_REQUEST_SUBMISSION_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/request/method_class.hpp>

#include <cstdint>

namespace medlarmoor::request {

/// A validated request of a caller, without its body.
struct Submission {
  ServiceName Service_;
  MethodClass Class_ = MethodClass::Idempotent;
  IdempotencyKey Key_;
  /// When the key was minted, by the clock of the instance that minted it.
  WallTime Minted_;
  /// The number of this submission of the key, counted by the caller from 1.
  /// Only a higher number reopens a key that was refused.
  std::uint32_t Try_ = 1;
  /// The time until which the caller waits.
  TimePoint Deadline_;
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_SUBMISSION_HPP
