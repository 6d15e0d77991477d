#ifndef MEDLARMOOR_REQUEST_RECORD_HPP
#define MEDLARMOOR_REQUEST_RECORD_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/request/kept_answer.hpp>
#include <medlarmoor/request/method_class.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace medlarmoor::request {

/// The progress of the request of a key. The numbers are sent between entries.
enum class KeyState : unsigned char {
  /// Waits for a slot; no byte has been sent to an upstream.
  Accepted,
  /// It may have reached an upstream.
  Dispatched,
  /// It ran, and its response arrived completely.
  Done,
  /// It was refused; no upstream ran it.
  NotRun,
  /// It may have run, and this can no longer be determined.
  Unknown,
};

/// The ledger record of one key.
struct Record {
  ServiceName Service_;
  MethodClass Class_ = MethodClass::Once;
  KeyState State_ = KeyState::Accepted;
  /// The entry that dispatches the key, and its incarnation.
  EntryName Dispatcher_;
  Incarnation Incarnation_;
  std::uint32_t Try_ = 1;
  /// The time at which the record is removed.
  TimePoint Expires_;
  std::string Reason_;
  /// The response, if it is small enough to be kept.
  std::shared_ptr<const KeptAnswer> Answer_;
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_RECORD_HPP
