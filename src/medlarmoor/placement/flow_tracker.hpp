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

/// Tracks the flows that this instance sees and counts them per upstream. A
/// flow is a load only while its handshake or a request is in progress. The
/// counts are needed to place new flows, not to forward packets.
class FlowTracker {
public:
  /// Returns the flow, or null if it is not tracked. The pointer is valid until
  /// the next call of a non-const function.
  [[nodiscard]] TrackedFlow *find(const affinity::FlowKey &Key) noexcept;

  /// Starts tracking a flow at an upstream; an earlier flow with the same key
  /// is replaced. The flow expires when no packet has arrived for IdleTimeout.
  TrackedFlow &add(const affinity::FlowKey &Key, affinity::Tag Upstream,
                   Millis IdleTimeout, TimePoint Now);
  /// Records that a request of the flow has begun, or that the upstream has
  /// processed it.
  void setBusy(TrackedFlow &Flow, bool Busy) noexcept;
  /// Reassigns a tracked flow to another upstream.
  void move(TrackedFlow &Flow, affinity::Tag Upstream, TimePoint Now);
  /// Records a packet of the client, which restarts the idle timeout.
  void touch(TrackedFlow &Flow, TimePoint Now) noexcept;
  /// Stops tracking a flow that has ended. Does nothing if it is not tracked.
  void erase(const affinity::FlowKey &Key);
  using Entry = std::pair<affinity::FlowKey, TrackedFlow>;
  struct Timeouts {
    /// Flows whose client has sent nothing for their idle timeout. They are no
    /// longer tracked.
    std::vector<Entry> Silent_;
    /// Flows whose answer has become overdue. They are still tracked, unless
    /// they are in Silent_ as well.
    std::vector<Entry> Overdue_;
  };

  /// Evicts silent flows and detects overdue answers; each overdue answer is
  /// reported once. To be called several times per second.
  Timeouts expire(TimePoint Now);

  /// Returns the number of flows at an upstream whose handshake or request is
  /// in progress.
  [[nodiscard]] std::uint32_t active(affinity::Tag Upstream) const noexcept;
  /// Returns the number of tracked flows at an upstream.
  [[nodiscard]] std::uint32_t tracked(affinity::Tag Upstream) const noexcept;
  /// Returns the number of tracked flows at all upstreams.
  [[nodiscard]] std::size_t size() const noexcept { return Flows_.size(); }

private:
  struct Counts {
    std::uint32_t Tracked_ = 0;
    std::uint32_t Active_ = 0;
  };

  /// Adds a flow to the counts of its upstream, or removes it.
  void count(const TrackedFlow &Flow);
  void release(const TrackedFlow &Flow) noexcept;

  std::unordered_map<affinity::FlowKey, TrackedFlow> Flows_;
  std::unordered_map<affinity::Tag, Counts> Counts_;
  /// Flows ordered by the time of their next check. A flow that is still
  /// tracked after its check is appended again.
  std::deque<std::pair<TimePoint, affinity::FlowKey>> Checks_;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_FLOW_TRACKER_HPP
