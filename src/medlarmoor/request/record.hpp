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

/// How far the request of a key has come.
enum class KeyState : unsigned char {
  /// Waits for a slot; no byte of it has gone to an upstream.
  Accepted,
  /// It may have reached an upstream.
  Dispatched,
  /// It ran and its answer arrived whole.
  Done,
  /// It was refused; no upstream ran it.
  NotRun,
  /// It may have run, and nobody will find out.
  Unknown,
};

/// What the ledger holds for one key.
struct Record {
  ServiceName Service_;
  MethodClass Class_ = MethodClass::Once;
  KeyState State_ = KeyState::Accepted;
  /// The entry that judges the key, and its run.
  EntryName Dispatcher_;
  Incarnation Run_;
  std::uint32_t Try_ = 1;
  /// Forgotten after this.
  TimePoint Expires_;
  std::string Reason_;
  /// The answer, where it is small enough to be kept.
  std::shared_ptr<const KeptAnswer> Answer_;
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_RECORD_HPP
