#ifndef MEDLARMOOR_REQUEST_LEDGER_HPP
#define MEDLARMOOR_REQUEST_LEDGER_HPP

#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/request/record.hpp>
#include <medlarmoor/request/record_replica.hpp>

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

namespace medlarmoor::request {

/// The records of the keys that this entry dispatches or stores replicas of,
/// bounded by number and by time. Records are held in memory only, so the
/// ledger covers keys from its construction on.
class Ledger {
public:
  /// Capacity is the maximum number of keys. Refusals may use all of it, new
  /// requests nine tenths, so that a refusal can still be recorded when no new
  /// request can.
  Ledger(std::size_t Capacity, Clock Time);

  /// Returns the record of Key, or null.
  [[nodiscard]] Record *find(const IdempotencyKey &Key);
  /// Returns true if there is room for a new request.
  [[nodiscard]] bool hasRoom() const noexcept;
  /// Inserts or replaces the record. Returns false if there is no room for it.
  bool put(const IdempotencyKey &Key, Record Stored);
  void erase(const IdempotencyKey &Key);

  /// Stores a replica from another dispatcher. Rejects it if another dispatcher
  /// or another incarnation holds the key, and if the key is older than this
  /// ledger, which may then lack an earlier record.
  [[nodiscard]] ReplicaAnswer storeReplica(const RecordReplica &Replica);
  /// Stores a record that its dispatcher hands off, regardless of its age. A
  /// record that this ledger already holds is kept.
  void adopt(const RecordReplica &Replica);
  /// Returns replicas of all records of Service that were sent or have ended,
  /// for the handoff to another dispatcher.
  [[nodiscard]] std::vector<RecordReplica>
  replicasForHandoff(const ServiceName &Service) const;
  /// Returns the record as it is sent to other entries.
  [[nodiscard]] RecordReplica makeReplica(const IdempotencyKey &Key,
                                          const Record &Stored) const;
  /// Removes expired records.
  void expire();

  [[nodiscard]] std::size_t size() const noexcept { return Records_.size(); }
  /// Returns the minting time before which keys may be missing.
  [[nodiscard]] WallTime completeSince() const noexcept {
    return CompleteSince_;
  }

private:
  [[nodiscard]] bool covers(const RecordReplica &Replica) const;
  bool putReplica(const RecordReplica &Replica);

  std::size_t Capacity_;
  Clock Time_;
  WallTime CompleteSince_;
  std::unordered_map<IdempotencyKey, Record> Records_;
  std::multimap<TimePoint, IdempotencyKey> Expiry_;
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_LEDGER_HPP
