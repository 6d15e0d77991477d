#include <medlarmoor/flow/home_map.hpp>

namespace medlarmoor::flow {

namespace {

constexpr std::uint16_t Unknown = 0xFFFF;
constexpr std::uint16_t Nobody = 0xFFFE;

} // namespace

HomeMap::HomeMap(membership::View Members) : View_(std::move(Members)) {}

const membership::Member *HomeMap::home(FlowId Flow,
                                        std::uint64_t ServiceSeed) {
  const std::size_t Shard = shardOf(Flow);
  const std::size_t At = Flow.Service_ * ShardsPerService + Shard;
  if (At >= CachedHomes_.size())
    CachedHomes_.resize((Flow.Service_ + 1U) * ShardsPerService, Unknown);
  if (CachedHomes_[At] == Unknown) {
    const membership::Member *Home = View_.home(keyOf(Shard, ServiceSeed));
    CachedHomes_[At] =
        Home == nullptr
            ? Nobody
            : static_cast<std::uint16_t>(Home - View_.members().data());
  }
  return CachedHomes_[At] == Nobody ? nullptr
                                    : &View_.members()[CachedHomes_[At]];
}

const membership::Member *HomeMap::homeWithout(FlowId Flow,
                                               std::uint64_t ServiceSeed,
                                               const EntryName &Without) const {
  return View_.homeWithout(keyOf(shardOf(Flow), ServiceSeed), Without);
}

} // namespace medlarmoor::flow
