#include <medlarmoor/config/push_tree.hpp>
#include <medlarmoor/core/hash.hpp>

#include <algorithm>
#include <tuple>

namespace medlarmoor::config {

namespace {

constexpr std::uint64_t OrderSeed = 0x6d65646c61726d6fULL;

} // namespace

PushTree::PushTree(std::vector<EntryName> Live, const std::set<EntryName> &Last)
    : Order_(std::move(Live)) {
  const auto Rank = [&Last](const EntryName &Each) {
    return std::tuple(Last.count(Each), hashText(Each.value(), OrderSeed),
                      Each);
  };
  std::sort(Order_.begin(), Order_.end(),
            [&Rank](const EntryName &A, const EntryName &B) {
              return Rank(A) < Rank(B);
            });
}

bool PushTree::watches(const EntryName &Member) const {
  const auto End = Order_.begin() + std::min(Order_.size(), Watchers);
  return std::find(Order_.begin(), End, Member) != End;
}

std::optional<EntryName> PushTree::leader() const {
  return Order_.empty() ? std::nullopt : std::optional(Order_.front());
}

std::vector<EntryName> PushTree::children(const EntryName &Member) const {
  const auto At = std::find(Order_.begin(), Order_.end(), Member);
  std::vector<EntryName> Out;
  if (At == Order_.end())
    return Out;
  const std::size_t Own = At - Order_.begin();
  if (Own < Watchers)
    for (std::size_t I = 0; I < std::min(Watchers, Order_.size()); ++I)
      if (I != Own)
        Out.push_back(Order_[I]);
  const std::size_t First = Watchers + Own * PushFanOut;
  for (std::size_t I = First; I < First + PushFanOut; ++I)
    if (I < Order_.size())
      Out.push_back(Order_[I]);
  return Out;
}

} // namespace medlarmoor::config
