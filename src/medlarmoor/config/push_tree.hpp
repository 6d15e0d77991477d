#ifndef MEDLARMOOR_CONFIG_PUSH_TREE_HPP
#define MEDLARMOOR_CONFIG_PUSH_TREE_HPP

#include <medlarmoor/core/ids.hpp>

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

namespace medlarmoor::config {

/// Number of members that watch the platform for their whole failure domain.
inline constexpr std::size_t WatcherCount = 2;
/// Number of members that one member notifies of a new version.
inline constexpr std::size_t PushFanOut = 3;

/// Orders the live members of one failure domain by rendezvous hashing. Members
/// with equal views compute the same order. The first members watch the
/// platform. The others form a tree below them in which each member notifies a
/// few others, so that no member serves more than a few pulls per change.
class PushTree {
public:
  PushTree() = default;
  /// Builds the order from the live members. Those in Unreachable can't reach
  /// the platform and are ordered after all others.
  PushTree(std::vector<EntryName> Live, const std::set<EntryName> &Unreachable);

  /// Returns true if the member watches the platform.
  [[nodiscard]] bool isWatcher(const EntryName &Member) const;
  /// Returns the first member of the order, which reports the status of all
  /// members, or nullopt if there are no members.
  [[nodiscard]] std::optional<EntryName> leader() const;
  /// Returns the members that Member notifies of a new version; none if Member
  /// is not in the order.
  [[nodiscard]] std::vector<EntryName> children(const EntryName &Member) const;

private:
  std::vector<EntryName> Order_;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_PUSH_TREE_HPP
