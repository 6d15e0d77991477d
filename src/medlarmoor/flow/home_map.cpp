#include <medlarmoor/flow/home_map.hpp>

namespace medlarmoor::flow {

namespace {

constexpr std::uint16_t NotComputed = 0xFFFF;
constexpr std::uint16_t NoHome = 0xFFFE;

} // namespace

HomeMap::HomeMap(membership::View Members) : View_(std::move(Members)) {}

const membership::Member *HomeMap::home(FlowId Flow,
                                        std::uint64_t ServiceSeed) {
  const std::size_t Shard = shardOf(Flow);
  const std::size_t Index = Flow.Service_ * ShardsPerService + Shard;
  if (Index >= CachedHomes_.size())
    CachedHomes_.resize((Flow.Service_ + 1U) * ShardsPerService, NotComputed);
  if (CachedHomes_[Index] == NotComputed) {
    const membership::Member *Home = View_.home(keyOf(Shard, ServiceSeed));
    CachedHomes_[Index] =
        Home == nullptr
            ? NoHome
            : static_cast<std::uint16_t>(Home - View_.members().data());
  }
  return CachedHomes_[Index] == NoHome ? nullptr
                                       : &View_.members()[CachedHomes_[Index]];
}

const membership::Member *
HomeMap::homeWithout(FlowId Flow, std::uint64_t ServiceSeed,
                     const EntryName &Excluded) const {
  return View_.homeWithout(keyOf(shardOf(Flow), ServiceSeed), Excluded);
}

} // namespace medlarmoor::flow
