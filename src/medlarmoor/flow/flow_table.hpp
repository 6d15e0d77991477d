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
  /// Holds at least Flows records.
  explicit FlowTable(std::size_t Flows);

  /// The flow's record, or null. Valid until the next erase.
  [[nodiscard]] FlowRecord *find(FlowId Id) noexcept;
  /// Asks the processor to load the flow's slot.
  void prefetch(FlowId Id) const noexcept;
  /// Adds a record for a flow that has none; null when the table is full.
  [[nodiscard]] FlowRecord *insert(FlowId Id) noexcept;
  /// Removes a record that find() returned.
  void erase(FlowRecord *Record) noexcept;
  void clear() noexcept;

  [[nodiscard]] std::size_t size() const noexcept { return Size_; }
  /// Records that it holds at most.
  [[nodiscard]] std::size_t limit() const noexcept { return Limit_; }
  /// Bytes that the table occupies when full.
  [[nodiscard]] std::size_t bytes() const noexcept;

  /// Calls Visit(FlowRecord &) for Slots slots from where the last sweep
  /// ended. Visit returns true to have the record erased.
  template <typename Fn> void sweep(std::size_t Slots, Fn Visit) {
    for (std::size_t Done = 0; Done < Slots; ++Done) {
      FlowRecord &Each = Slots_[Cursor_];
      if (Each.Key_ != 0 && Visit(Each))
        erase(&Each); // may move a record into this slot: look at it again
      else
        Cursor_ = (Cursor_ + 1) & Mask_;
    }
  }
  /// Calls Visit(FlowRecord &) for each record; Visit must not erase.
  template <typename Fn> void forEach(Fn Visit) {
    for (std::size_t At = 0; At <= Mask_; ++At)
      if (Slots_[At].Key_ != 0)
        Visit(Slots_[At]);
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
