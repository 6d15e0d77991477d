#ifndef MEDLARMOOR_EDGE_SNAPSHOT_CODEC_HPP
#define MEDLARMOOR_EDGE_SNAPSHOT_CODEC_HPP

#include <medlarmoor/discovery/evacuation_changes.hpp>
#include <medlarmoor/discovery/upstream_changes.hpp>
#include <medlarmoor/edge/snapshot.hpp>
#include <medlarmoor/routing/route_changes.hpp>

#include <optional>
#include <string>

namespace medlarmoor::edge {

/// Returns a snapshot as JSON text.
[[nodiscard]] std::string
encode(const Snapshot<discovery::UpstreamChanges> &Value);
[[nodiscard]] std::string encode(const Snapshot<routing::RouteChanges> &Value);
/// Value must hold a full snapshot.
[[nodiscard]] std::string
encode(const Snapshot<discovery::EvacuationChanges> &Value);

/// Parses a snapshot of upstream changes. Returns no value if the text is not
/// one.
[[nodiscard]] std::optional<Snapshot<discovery::UpstreamChanges>>
readUpstreamChanges(const std::string &Text);
/// Parses a snapshot of route changes. Returns no value if the text is not one.
[[nodiscard]] std::optional<Snapshot<routing::RouteChanges>>
readRouteChanges(const std::string &Text);
/// Parses a full snapshot of the evacuations. Returns no value if the text is
/// not one.
[[nodiscard]] std::optional<Snapshot<discovery::EvacuationChanges>>
readEvacuationChanges(const std::string &Text);

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_SNAPSHOT_CODEC_HPP
