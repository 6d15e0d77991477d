#ifndef MEDLARMOOR_AFFINITY_TAG_HPP
#define MEDLARMOOR_AFFINITY_TAG_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/strong.hpp>

#include <cstdint>

namespace medlarmoor::affinity {

/// A value that both ends of a flow repeat in their packets. It names the
/// flow's upstream, so that any instance can forward any packet without
/// knowing the flow.
using Tag = Strong<std::uint32_t, struct TagTag>;

/// What packets carry before the upstream has answered.
inline constexpr Tag NoTag{0};

/// The tag of an upstream: a hash of its name, equal on all instances and
/// never NoTag.
[[nodiscard]] Tag tagOf(const UpstreamName &Name) noexcept;

} // namespace medlarmoor::affinity

#endif // MEDLARMOOR_AFFINITY_TAG_HPP
