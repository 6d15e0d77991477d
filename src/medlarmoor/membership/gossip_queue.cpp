#include <medlarmoor/membership/gossip_queue.hpp>

#include <algorithm>
#include <bit>

namespace medlarmoor::membership {

namespace {

constexpr std::size_t MessagesPerDoubling = 2;

} // namespace

void GossipQueue::add(const EntryName &Name, std::size_t Members) {
  Left_[Name] = MessagesPerDoubling * std::bit_width(Members + 1);
}

std::vector<EntryName> GossipQueue::take(std::size_t Max,
                                         std::size_t Messages) {
  std::vector<std::pair<std::size_t, EntryName>> Order;
  Order.reserve(Left_.size());
  for (const auto &[Name, Left] : Left_)
    Order.emplace_back(Left, Name);
  std::sort(Order.begin(), Order.end(), std::greater<>());
  std::vector<EntryName> Out;
  for (const auto &[Left, Name] : Order) {
    if (Out.size() == Max)
      break;
    Out.push_back(Name);
    if (Left <= Messages)
      Left_.erase(Name);
    else
      Left_[Name] = Left - Messages;
  }
  return Out;
}

} // namespace medlarmoor::membership
