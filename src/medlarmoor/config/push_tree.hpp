#ifndef MEDLARMOOR_CONFIG_PUSH_TREE_HPP
#define MEDLARMOOR_CONFIG_PUSH_TREE_HPP

#include <medlarmoor/core/ids.hpp>

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

namespace medlarmoor::config {

/// Members of a failure domain that watch the platform for all of them.
inline constexpr std::size_t Watchers = 2;
/// Members that one member tells of a new version.
inline constexpr std::size_t PushFanOut = 3;

/// The order of the live members of one failure domain by rendezvous hashing,
/// equal at all members with equal views. The first ones watch the platform;
/// below them the members form a tree in which each tells a few others, so
/// that no member serves more than a few pulls a change.
class PushTree {
public:
  PushTree() = default;
  /// The members in Last can't reach the platform; they come last.
  PushTree(std::vector<EntryName> Live, const std::set<EntryName> &Last);

  /// The member watches the platform.
  [[nodiscard]] bool watches(const EntryName &Member) const;
  /// The first of the order, who reports for all; nothing without members.
  [[nodiscard]] std::optional<EntryName> leader() const;
  /// Whom the member tells of a new version.
  [[nodiscard]] std::vector<EntryName> children(const EntryName &Member) const;

private:
  std::vector<EntryName> Order_;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_PUSH_TREE_HPP
