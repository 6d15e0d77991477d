#include <medlarmoor/affinity/tag.hpp>
#include <medlarmoor/core/hash.hpp>

namespace medlarmoor::affinity {

namespace {

/// Tag of names whose hash is the value of NoTag.
constexpr std::uint32_t ReplacementValue = 1;

} // namespace

Tag tagOf(const UpstreamName &Name) noexcept {
  const auto Hash = static_cast<std::uint32_t>(hashText(Name.value()));
  return Hash == NoTag.value() ? Tag(ReplacementValue) : Tag(Hash);
}

} // namespace medlarmoor::affinity
