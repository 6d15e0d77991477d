#ifndef MEDLARMOOR_EDGE_SNAPSHOT_CODEC_HPP
#define MEDLARMOOR_EDGE_SNAPSHOT_CODEC_HPP

#include <medlarmoor/discovery/upstream_changes.hpp>
#include <medlarmoor/edge/snapshot.hpp>
#include <medlarmoor/routing/route_changes.hpp>

#include <optional>
#include <string>

namespace medlarmoor::edge {

/// The JSON text of what is passed on to a peer.
[[nodiscard]] std::string
encode(const Snapshot<discovery::UpstreamChanges> &Each);
[[nodiscard]] std::string encode(const Snapshot<routing::RouteChanges> &Each);

/// Reads changes of the upstreams; nothing when the text holds none.
[[nodiscard]] std::optional<Snapshot<discovery::UpstreamChanges>>
readUpstreamChanges(const std::string &Text);
/// Reads changes of the routes; nothing when the text holds none.
[[nodiscard]] std::optional<Snapshot<routing::RouteChanges>>
readRouteChanges(const std::string &Text);

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_SNAPSHOT_CODEC_HPP
