#include <medlarmoor/core/hash.hpp>
#include <medlarmoor/flow/consistent_table.hpp>

#include <algorithm>
#include <bit>

namespace medlarmoor::flow {

namespace {

constexpr std::size_t SlotsPerUpstream = 100;
/// No upstream yet.
constexpr UpstreamIndex Empty = 0xFFFF;

/// Walks one share's permutation of the slots: an odd step reaches all slots
/// of a table whose size is a power of two.
class Walk {
public:
  Walk(std::uint64_t Seed, std::size_t Slots)
      : Mask_(Slots - 1), At_(mix(Seed, 1) & Mask_),
        Step_((mix(Seed, 2) | 1U) & Mask_) {}

  std::size_t next() noexcept {
    const std::size_t Here = At_;
    At_ = (At_ + Step_) & Mask_;
    return Here;
  }

private:
  std::size_t Mask_;
  std::size_t At_;
  std::size_t Step_;
};

/// The shares in an order that is the same in every process.
std::vector<TableShare> sorted(std::span<const TableShare> Shares) {
  std::vector<TableShare> Out(Shares.begin(), Shares.end());
  std::sort(Out.begin(), Out.end(),
            [](const TableShare &A, const TableShare &B) {
              return A.Seed_ < B.Seed_;
            });
  return Out;
}

} // namespace

ConsistentTable::ConsistentTable(std::span<const TableShare> Shares) {
  if (Shares.empty())
    return;
  const std::size_t Size = std::bit_ceil(Shares.size() * SlotsPerUpstream);
  Shift_ = FlowHashBits - static_cast<unsigned>(std::bit_width(Size) - 1);
  Slots_.assign(Size, Empty);
  const std::vector<TableShare> Ordered = sorted(Shares);
  double Heaviest = 0;
  std::vector<Walk> Walks;
  for (const TableShare &Each : Ordered) {
    Heaviest = std::max(Heaviest, Each.Weight_);
    Walks.emplace_back(Each.Seed_, Size);
  }
  std::vector<double> Credit(Ordered.size(), 0);
  std::size_t Filled = 0;
  while (true) {
    for (std::size_t I = 0; I < Ordered.size(); ++I) {
      Credit[I] += Ordered[I].Weight_ / Heaviest;
      if (Credit[I] < 1.0)
        continue;
      Credit[I] -= 1.0;
      std::size_t At = Walks[I].next();
      while (Slots_[At] != Empty)
        At = Walks[I].next();
      Slots_[At] = Ordered[I].Upstream_;
      if (++Filled == Size)
        return;
    }
  }
}

} // namespace medlarmoor::flow
