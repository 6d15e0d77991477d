#ifndef MEDLARMOOR_MEMBERSHIP_GOSSIP_QUEUE_HPP
#define MEDLARMOOR_MEMBERSHIP_GOSSIP_QUEUE_HPP

#include <medlarmoor/core/ids.hpp>

#include <cstddef>
#include <map>
#include <vector>

namespace medlarmoor::membership {

/// The members about whom something new has to be passed on, with the number
/// of messages that have yet to carry it.
class GossipQueue {
public:
  /// Passes the news about Name on in further messages; Members is the size of
  /// the failure domain, with whose logarithm the number of messages grows.
  void add(const EntryName &Name, std::size_t Members);
  /// At most Max names, those first that were carried least, counted as
  /// carried by Messages.
  [[nodiscard]] std::vector<EntryName> take(std::size_t Max,
                                            std::size_t Messages);
  [[nodiscard]] bool empty() const noexcept { return Left_.empty(); }

private:
  std::map<EntryName, std::size_t> Left_;
};

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_GOSSIP_QUEUE_HPP
