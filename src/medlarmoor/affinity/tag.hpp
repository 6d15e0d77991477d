#ifndef MEDLARMOOR_AFFINITY_TAG_HPP
#define MEDLARMOOR_AFFINITY_TAG_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/strong.hpp>

#include <cstdint>

namespace medlarmoor::affinity {

/// Identifies the upstream of a flow. Both ends repeat the tag in every packet,
/// so that any instance can forward any packet without state of the flow.
using Tag = Strong<std::uint32_t, struct TagTag>;

/// The tag of packets that are sent before the upstream has answered.
inline constexpr Tag NoTag{0};

/// Returns the tag of an upstream: a hash of its name, which is equal on all
/// instances and never NoTag.
[[nodiscard]] Tag tagOf(const UpstreamName &Name) noexcept;

} // namespace medlarmoor::affinity

#endif // MEDLARMOOR_AFFINITY_TAG_HPP
