#include <medlarmoor/membership/gossip_queue.hpp>

#include <algorithm>
#include <bit>

namespace medlarmoor::membership {

namespace {

/// Further messages that carry an update each time the number of members
/// doubles.
constexpr std::size_t MessagesPerDoubling = 2;

} // namespace

void GossipQueue::add(const EntryName &Name, std::size_t Members) {
  RemainingSends_[Name] = MessagesPerDoubling * std::bit_width(Members + 1);
}

std::vector<EntryName> GossipQueue::take(std::size_t Max,
                                         std::size_t Messages) {
  std::vector<std::pair<std::size_t, EntryName>> Queued;
  Queued.reserve(RemainingSends_.size());
  for (const auto &[Name, Remaining] : RemainingSends_)
    Queued.emplace_back(Remaining, Name);
  std::sort(Queued.begin(), Queued.end(), std::greater<>());
  std::vector<EntryName> Names;
  for (const auto &[Remaining, Name] : Queued) {
    if (Names.size() == Max)
      break;
    Names.push_back(Name);
    if (Remaining <= Messages)
      RemainingSends_.erase(Name);
    else
      RemainingSends_[Name] = Remaining - Messages;
  }
  return Names;
}

} // namespace medlarmoor::membership
