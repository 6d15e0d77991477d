#ifndef MEDLARMOOR_MEMBERSHIP_GOSSIP_QUEUE_HPP
#define MEDLARMOOR_MEMBERSHIP_GOSSIP_QUEUE_HPP

#include <medlarmoor/core/ids.hpp>

#include <cstddef>
#include <map>
#include <vector>

namespace medlarmoor::membership {

/// The members whose latest update still has to be gossiped, with the number of
/// messages that remain to carry it.
class GossipQueue {
public:
  /// Schedules the latest update about Name for further messages. Their number
  /// grows with the logarithm of Members, the size of the failure domain.
  void add(const EntryName &Name, std::size_t Members);
  /// Returns at most Max names for a heartbeat that goes out in Messages copies
  /// and counts these copies. Names with the most remaining sends come first.
  [[nodiscard]] std::vector<EntryName> take(std::size_t Max,
                                            std::size_t Messages);
  [[nodiscard]] bool empty() const noexcept { return RemainingSends_.empty(); }

private:
  std::map<EntryName, std::size_t> RemainingSends_;
};

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_GOSSIP_QUEUE_HPP
