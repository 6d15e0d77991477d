#ifndef MEDLARMOOR_REQUEST_RECORD_REPLICA_HPP
#define MEDLARMOOR_REQUEST_RECORD_REPLICA_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/request/record.hpp>

#include <cstdint>
#include <string>

namespace medlarmoor::request {

/// A replica of one ledger record, as sent between entries.
struct RecordReplica {
  IdempotencyKey Key_;
  ServiceName Service_;
  KeyState State_ = KeyState::Dispatched;
  EntryName Dispatcher_;
  Incarnation Incarnation_;
  std::uint32_t Try_ = 1;
  WallTime Minted_;
  /// The remaining time for which the receiver keeps the record.
  Millis TimeToLive_{};
  std::string Reason_;

  friend bool operator==(const RecordReplica &,
                         const RecordReplica &) = default;
};

/// The answer of an entry to a replica. The numbers are sent between entries.
enum class ReplicaAnswer : unsigned char {
  Stored,
  /// The receiver holds the key for another dispatcher or incarnation.
  HeldElsewhere,
  /// The receiver started after the key was minted, so its ledger may lack an
  /// earlier record of the key.
  NotCovered,
  /// The receiver does not see the sender as a member, or its ledger is full.
  Refused,
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_RECORD_REPLICA_HPP
