#ifndef MEDLARMOOR_HARNESS_CATALOG_BUILDER_HPP
#define MEDLARMOOR_HARNESS_CATALOG_BUILDER_HPP

#include <medlarmoor/discovery/catalog.hpp>

#include <string>
#include <vector>

namespace medlarmoor::harness {

/// A moment that is Ms milliseconds after an arbitrary start.
[[nodiscard]] inline TimePoint at(std::int64_t Ms) {
  return TimePoint(Seconds(1000)) + Millis(Ms);
}

/// A revision of the first epoch that a store states, or of another one.
[[nodiscard]] inline StoreRevision revision(std::uint64_t Number,
                                            std::uint64_t Epoch = 1) {
  return {StoreEpoch(Epoch), Number};
}

/// An upstream of the service "web" in the domain "seeb" with two slots.
[[nodiscard]] inline discovery::Upstream upstream(const std::string &Name) {
  discovery::Upstream Out;
  Out.Name_ = UpstreamName(Name);
  Out.Service_ = ServiceName("web");
  Out.Domain_ = DomainName("seeb");
  Out.Address_ = Endpoint(Ipv4(0x0a000001), 8080);
  Out.Identity_ = 7;
  Out.Slots_ = 2;
  return Out;
}

/// The whole list of these upstreams.
[[nodiscard]] inline discovery::UpstreamChanges
whole(std::vector<discovery::Upstream> Listed) {
  return {true, std::move(Listed), {}};
}

/// These upstreams are listed, too.
[[nodiscard]] inline discovery::UpstreamChanges
listed(std::vector<discovery::Upstream> Changed) {
  return {false, std::move(Changed), {}};
}

/// This upstream is no longer listed.
[[nodiscard]] inline discovery::UpstreamChanges
unlisted(const std::string &Name) {
  return {false, {}, {UpstreamName(Name)}};
}

/// The entry of this upstream cannot be read.
[[nodiscard]] inline discovery::UpstreamChanges
unreadable(const std::string &Name) {
  return {false, {}, {}, {UpstreamName(Name)}};
}

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_CATALOG_BUILDER_HPP
