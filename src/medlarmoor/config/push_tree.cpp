#include <medlarmoor/config/push_tree.hpp>
#include <medlarmoor/core/hash.hpp>

#include <algorithm>
#include <tuple>

namespace medlarmoor::config {

namespace {

/// Equal at all members, so that they compute the same order.
constexpr std::uint64_t HashSeed = 0x6d65646c61726d6fULL;

} // namespace

PushTree::PushTree(std::vector<EntryName> Live,
                   const std::set<EntryName> &Unreachable)
    : Order_(std::move(Live)) {
  const auto Rank = [&Unreachable](const EntryName &Candidate) {
    return std::tuple(Unreachable.count(Candidate),
                      hashText(Candidate.value(), HashSeed), Candidate);
  };
  std::sort(Order_.begin(), Order_.end(),
            [&Rank](const EntryName &A, const EntryName &B) {
              return Rank(A) < Rank(B);
            });
}

bool PushTree::isWatcher(const EntryName &Member) const {
  const auto End = Order_.begin() + std::min(Order_.size(), WatcherCount);
  return std::find(Order_.begin(), End, Member) != End;
}

std::optional<EntryName> PushTree::leader() const {
  return Order_.empty() ? std::nullopt : std::optional(Order_.front());
}

std::vector<EntryName> PushTree::children(const EntryName &Member) const {
  const auto At = std::find(Order_.begin(), Order_.end(), Member);
  std::vector<EntryName> Children;
  if (At == Order_.end())
    return Children;
  const std::size_t Position = At - Order_.begin();
  if (Position < WatcherCount)
    for (std::size_t I = 0; I < std::min(WatcherCount, Order_.size()); ++I)
      if (I != Position)
        Children.push_back(Order_[I]);
  const std::size_t FirstChild = WatcherCount + Position * PushFanOut;
  for (std::size_t I = FirstChild; I < FirstChild + PushFanOut; ++I)
    if (I < Order_.size())
      Children.push_back(Order_[I]);
  return Children;
}

} // namespace medlarmoor::config
