#ifndef MEDLARMOOR_PLACEMENT_FLOW_TRACKER_HPP
#define MEDLARMOOR_PLACEMENT_FLOW_TRACKER_HPP

#include <medlarmoor/affinity/flow_key.hpp>
#include <medlarmoor/placement/tracked_flow.hpp>

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace medlarmoor::placement {

/// The flows that are at work as this instance sees them, and how many each
/// upstream has. Forwarding does not need it; placing does.
class FlowTracker {
public:
  /// The flow, or null when it is not tracked. The pointer is valid until the
  /// next call that is not const.
  [[nodiscard]] TrackedFlow *find(const affinity::FlowKey &Key) noexcept;

  /// Begins to track a flow at an upstream. Timeout is how long it counts
  /// after each packet.
  TrackedFlow &add(const affinity::FlowKey &Key, affinity::Tag Upstream,
                   Millis IdleTimeout, TimePoint Now);
  /// Reassigns a tracked flow to another upstream.
  void move(TrackedFlow &Flow, affinity::Tag Upstream, TimePoint Now);
  /// A packet of the client came.
  void touch(TrackedFlow &Flow, TimePoint Now) noexcept;
  /// The flow has ended.
  void erase(const affinity::FlowKey &Key);
  using Entry = std::pair<affinity::FlowKey, TrackedFlow>;
  struct Timeouts {
    /// Flows whose client has been silent for their timeout. They are no
    /// longer tracked.
    std::vector<Entry> Silent_;
    /// Flows whose request has become overdue.
    std::vector<Entry> Overdue_;
  };

  /// Looks for what time has changed. Call it a few times a second.
  Timeouts expire(TimePoint Now);

  /// Flows at work at an upstream.
  [[nodiscard]] std::uint32_t active(affinity::Tag Upstream) const noexcept;
  /// All flows at work.
  [[nodiscard]] std::size_t size() const noexcept { return Flows_.size(); }

private:
  void release(affinity::Tag Upstream) noexcept;

  std::unordered_map<affinity::FlowKey, TrackedFlow> Flows_;
  std::unordered_map<affinity::Tag, std::uint32_t> Active_;
  /// Flows by when to look at them next; a flow that was touched since then
  /// goes to the end again.
  std::deque<std::pair<TimePoint, affinity::FlowKey>> Checks_;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_FLOW_TRACKER_HPP
