#ifndef MEDLARMOOR_REQUEST_LEDGER_HPP
#define MEDLARMOOR_REQUEST_LEDGER_HPP

#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/request/ledger_copy.hpp>
#include <medlarmoor/request/record.hpp>

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

namespace medlarmoor::request {

/// The keys that this entry judges or holds copies of, bounded by count and
/// time. It lives in memory only: what it knows begins with its construction.
class Ledger {
public:
  /// Capacity is in keys. Refusals may use all of it, new requests nine
  /// tenths, so that a refusal can still be recorded when requests cannot.
  Ledger(std::size_t Capacity, Clock Time);

  /// The record of Key, or null.
  [[nodiscard]] Record *find(const IdempotencyKey &Key);
  /// Whether a new request still has room.
  [[nodiscard]] bool hasRoom() const noexcept;
  /// Puts or replaces the record; false when there is no room for it.
  bool put(const IdempotencyKey &Key, Record Value);
  void erase(const IdempotencyKey &Key);

  /// Takes a copy from another dispatcher. A key that another dispatcher or
  /// another run of it holds is not given up; a key from before this ledger
  /// began cannot be vouched for.
  [[nodiscard]] CopyAnswer take(const LedgerCopy &Copy);
  /// Takes a record that its dispatcher hands over, whatever its age; one that
  /// is held here already stays.
  void adopt(const LedgerCopy &Copy);
  /// All records of Service that were sent or have ended, to hand them over.
  [[nodiscard]] std::vector<LedgerCopy>
  copies(const ServiceName &Service) const;
  /// The form in which one record travels.
  [[nodiscard]] LedgerCopy copyOf(const IdempotencyKey &Key,
                                  const Record &Value) const;
  /// Forgets what has expired.
  void expire();

  [[nodiscard]] std::size_t size() const noexcept { return Records_.size(); }
  /// Keys minted before this may be missing.
  [[nodiscard]] WallTime since() const noexcept { return Since_; }

private:
  [[nodiscard]] bool vouches(const LedgerCopy &Copy) const;
  bool putCopy(const LedgerCopy &Copy);

  std::size_t Capacity_;
  Clock Time_;
  WallTime Since_;
  std::unordered_map<IdempotencyKey, Record> Records_;
  std::multimap<TimePoint, IdempotencyKey> Expiry_;
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_LEDGER_HPP
