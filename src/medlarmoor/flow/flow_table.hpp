#ifndef MEDLARMOOR_FLOW_FLOW_TABLE_HPP
#define MEDLARMOOR_FLOW_FLOW_TABLE_HPP

#include <medlarmoor/flow/flow_record.hpp>

#include <cstddef>
#include <memory>

namespace medlarmoor::flow {

/// A bounded hash table of flow records: open addressing with linear probing
/// and no tombstones. It is allocated once, so no packet waits for a rehash.
class FlowTable {
public:
  /// Creates a table that can hold at least Flows records.
  explicit FlowTable(std::size_t Flows);

  /// Returns the flow's record, or null. Valid until the next erase.
  [[nodiscard]] FlowRecord *find(FlowId Id) noexcept;
  /// Prefetches the flow's slot into the processor's cache.
  void prefetch(FlowId Id) const noexcept;
  /// Adds a record for a flow that has none. Returns null if the table is full.
  [[nodiscard]] FlowRecord *insert(FlowId Id) noexcept;
  /// Removes a record that find() returned.
  void erase(FlowRecord *Record) noexcept;
  void clear() noexcept;

  [[nodiscard]] std::size_t size() const noexcept { return Size_; }
  /// Returns the maximum number of records.
  [[nodiscard]] std::size_t limit() const noexcept { return Limit_; }
  /// Returns the size of the table in bytes, whether full or empty.
  [[nodiscard]] std::size_t bytes() const noexcept;

  /// Calls Visit(FlowRecord &) for the used ones of the next Slots slots,
  /// starting where the last sweep ended. The record is erased if Visit returns
  /// true.
  template <typename Fn> void sweep(std::size_t Slots, Fn Visit) {
    for (std::size_t Done = 0; Done < Slots; ++Done) {
      FlowRecord &Record = Slots_[Cursor_];
      if (Record.Key_ != 0 && Visit(Record))
        erase(&Record); // may move a record into this slot, so visit it again
      else
        Cursor_ = (Cursor_ + 1) & Mask_;
    }
  }
  /// Calls Visit(FlowRecord &) for each record; Visit must not erase.
  template <typename Fn> void forEach(Fn Visit) {
    for (std::size_t Slot = 0; Slot <= Mask_; ++Slot)
      if (Slots_[Slot].Key_ != 0)
        Visit(Slots_[Slot]);
  }
  [[nodiscard]] std::size_t slots() const noexcept { return Mask_ + 1; }

private:
  struct Deleter {
    void operator()(FlowRecord *Memory) const noexcept;
  };

  [[nodiscard]] std::size_t slotOf(std::uint64_t Key) const noexcept;

  std::size_t Mask_;
  unsigned Shift_;
  std::size_t Limit_;
  std::size_t Size_ = 0;
  std::size_t Cursor_ = 0;
  std::unique_ptr<FlowRecord[], Deleter> Slots_;
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_FLOW_TABLE_HPP
