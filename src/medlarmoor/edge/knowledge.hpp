#ifndef MEDLARMOOR_EDGE_KNOWLEDGE_HPP
#define MEDLARMOOR_EDGE_KNOWLEDGE_HPP

namespace medlarmoor::edge {

/// Whether what an instance knows is recent enough to refuse a flow by it.
struct Knowledge {
  bool RoutesCurrent_ = false;
  bool UpstreamsCurrent_ = false;
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_KNOWLEDGE_HPP
