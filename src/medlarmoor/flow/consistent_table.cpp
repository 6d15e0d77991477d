#include <medlarmoor/core/hash.hpp>
#include <medlarmoor/flow/consistent_table.hpp>

#include <algorithm>
#include <bit>

namespace medlarmoor::flow {

namespace {

/// Minimum number of slots per share, on average over the shares. The size of
/// the table is rounded up to a power of two, and weights divide the slots.
constexpr std::size_t MinSlotsPerShare = 100;
/// Marks a slot that has no upstream yet.
constexpr UpstreamIndex Empty = 0xFFFF;

/// Iterates over one share's permutation of the slots: an odd step reaches all
/// slots of a table whose size is a power of two.
class SlotPermutation {
public:
  SlotPermutation(std::uint64_t Seed, std::size_t Slots)
      : Mask_(Slots - 1), Slot_(mix(Seed, 1) & Mask_),
        Step_((mix(Seed, 2) | 1U) & Mask_) {}

  std::size_t next() noexcept {
    const std::size_t Current = Slot_;
    Slot_ = (Slot_ + Step_) & Mask_;
    return Current;
  }

private:
  std::size_t Mask_;
  std::size_t Slot_;
  std::size_t Step_;
};

/// Returns the shares ordered by seed. If all seeds differ, the order is the
/// same in every process.
std::vector<TableShare> sorted(std::span<const TableShare> Shares) {
  std::vector<TableShare> Ordered(Shares.begin(), Shares.end());
  std::sort(Ordered.begin(), Ordered.end(),
            [](const TableShare &A, const TableShare &B) {
              return A.Seed_ < B.Seed_;
            });
  return Ordered;
}

} // namespace

ConsistentTable::ConsistentTable(std::span<const TableShare> Shares) {
  if (Shares.empty())
    return;
  const std::size_t Size = std::bit_ceil(Shares.size() * MinSlotsPerShare);
  Shift_ = FlowHashBits - static_cast<unsigned>(std::bit_width(Size) - 1);
  Slots_.assign(Size, Empty);
  const std::vector<TableShare> Ordered = sorted(Shares);
  double MaxWeight = 0;
  std::vector<SlotPermutation> Permutations;
  for (const TableShare &Share : Ordered) {
    MaxWeight = std::max(MaxWeight, Share.Weight_);
    Permutations.emplace_back(Share.Seed_, Size);
  }
  std::vector<double> Credit(Ordered.size(), 0);
  std::size_t Filled = 0;
  while (true) {
    for (std::size_t I = 0; I < Ordered.size(); ++I) {
      Credit[I] += Ordered[I].Weight_ / MaxWeight;
      if (Credit[I] < 1.0)
        continue;
      Credit[I] -= 1.0;
      std::size_t Slot = Permutations[I].next();
      while (Slots_[Slot] != Empty)
        Slot = Permutations[I].next();
      Slots_[Slot] = Ordered[I].Upstream_;
      if (++Filled == Size)
        return;
    }
  }
}

} // namespace medlarmoor::flow
