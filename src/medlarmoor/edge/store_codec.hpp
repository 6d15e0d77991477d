#ifndef MEDLARMOOR_EDGE_STORE_CODEC_HPP
#define MEDLARMOOR_EDGE_STORE_CODEC_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/discovery/upstream.hpp>
#include <medlarmoor/objects/collection_codec.hpp>
#include <medlarmoor/routing/route_table.hpp>

namespace medlarmoor::edge {

/// Codecs of the store's collections that an edge instance follows.
struct StoreCodec {
  objects::CollectionCodec<discovery::Upstream> Upstreams_;
  objects::CollectionCodec<routing::RouteTable> Routes_;
  /// Each object states that the failure domain of its name is evacuated.
  objects::CollectionCodec<DomainName> Evacuations_;
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_STORE_CODEC_HPP
