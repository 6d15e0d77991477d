#ifndef MEDLARMOOR_REQUEST_LEDGER_COPY_HPP
#define MEDLARMOOR_REQUEST_LEDGER_COPY_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/request/record.hpp>

#include <cstdint>
#include <string>

namespace medlarmoor::request {

/// One ledger entry as it travels between entries.
struct LedgerCopy {
  IdempotencyKey Key_;
  ServiceName Service_;
  KeyState State_ = KeyState::Dispatched;
  EntryName Dispatcher_;
  Incarnation Run_;
  std::uint32_t Try_ = 1;
  WallTime Minted_;
  /// How much longer it is to be kept.
  Millis KeepFor_{};
  std::string Reason_;

  friend bool operator==(const LedgerCopy &, const LedgerCopy &) = default;
};

/// How a receiver took a copy.
enum class CopyAnswer : unsigned char {
  Taken,
  /// Another dispatcher holds the key already.
  Held,
  /// The receiver started after the key was minted and cannot vouch for it.
  Gap,
  /// The receiver does not count the sender among the members, or is full.
  Refused,
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_LEDGER_COPY_HPP
