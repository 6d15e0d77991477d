#ifndef MEDLARMOOR_EDGE_RELEASED_FLOW_HPP
#define MEDLARMOOR_EDGE_RELEASED_FLOW_HPP

#include <medlarmoor/admission/demand.hpp>
#include <medlarmoor/placement/selection.hpp>

namespace medlarmoor::edge {

/// A flow that waits no longer.
struct ReleasedFlow {
  admission::Demand Demand_;
  /// It has waited for its maximum time, and no slot may be free.
  bool Overdue_ = false;
  /// The upstream that it would be placed at now.
  placement::Selection Selection_{};
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_RELEASED_FLOW_HPP
