#ifndef MEDLARMOOR_FLOW_CONSISTENT_TABLE_HPP
#define MEDLARMOOR_FLOW_CONSISTENT_TABLE_HPP

#include <medlarmoor/flow/flow_id.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace medlarmoor::flow {

/// An upstream's share of a consistent table.
struct TableShare {
  UpstreamIndex Upstream_ = 0;
  /// Hash of the upstream's name, so that all entries build equal tables.
  std::uint64_t Seed_ = 0;
  /// Above 0.
  double Weight_ = 1.0;
};

/// Maps flow hashes to upstreams by weight, with a weighted variant of Maglev
/// hashing. Equal shares with distinct seeds yield an equal table in every
/// process, whatever was in force before. Adding or removing a share moves few
/// slots of the others.
class ConsistentTable {
public:
  ConsistentTable() = default;
  /// Fills the table: the shares take slots in turn, each along its own
  /// permutation of the slots.
  explicit ConsistentTable(std::span<const TableShare> Shares);

  [[nodiscard]] bool empty() const noexcept { return Slots_.empty(); }
  /// Returns the upstream of a flow's hash. The table must not be empty.
  [[nodiscard]] UpstreamIndex at(std::uint64_t FlowHash) const noexcept {
    return Slots_[FlowHash >> Shift_];
  }
  [[nodiscard]] std::span<const UpstreamIndex> slots() const noexcept {
    return Slots_;
  }

private:
  unsigned Shift_ = FlowHashBits;
  std::vector<UpstreamIndex> Slots_;
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_CONSISTENT_TABLE_HPP
