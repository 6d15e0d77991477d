#ifndef MEDLARMOOR_PLACEMENT_FLOW_TRACKER_HPP
#define MEDLARMOOR_PLACEMENT_FLOW_TRACKER_HPP

#include <medlarmoor/affinity/flow_key.hpp>
#include <medlarmoor/placement/tracked_flow.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <unordered_map>
#include <utility>
#include <vector>

namespace medlarmoor::placement {

/// Tracks the flows that this instance sees and counts them per upstream. A
/// flow is a load only while its handshake or a request is in progress. A flow
/// whose SYN was sent to several upstreams is told apart by this record alone,
/// as its packets may carry the tag of any of them.
class FlowTracker {
public:
  /// Returns the flow, or null if it is not tracked. The pointer is valid until
  /// the next call of a non-const function.
  [[nodiscard]] TrackedFlow *find(const affinity::FlowKey &Key) noexcept;

  /// Starts tracking a flow at an upstream; an earlier flow with the same key
  /// is replaced. The flow is evicted when no packet has arrived for
  /// HandshakeTimeout, unless it has been opened.
  TrackedFlow &add(const affinity::FlowKey &Key, affinity::Tag Upstream,
                   Millis HandshakeTimeout, TimePoint Now);
  /// Records that the client has answered the upstream. The flow is remembered
  /// for IdleTimeout after the client's last packet; a request during which the
  /// client sends nothing for SilenceTimeout is taken as abandoned.
  void open(const affinity::FlowKey &Key, TrackedFlow &Flow,
            Millis SilenceTimeout, Millis IdleTimeout, TimePoint Now);
  /// Records that the client has sent a request, whose answer is overdue at
  /// DueAt.
  void beginRequest(const affinity::FlowKey &Key, TrackedFlow &Flow,
                    TimePoint DueAt, TimePoint Now);
  /// Records that a request of the flow has begun, or that the upstream has
  /// processed it.
  void setBusy(TrackedFlow &Flow, bool Busy) noexcept;
  /// Reassigns a tracked flow to another upstream.
  void move(TrackedFlow &Flow, affinity::Tag Upstream, TimePoint Now);
  /// Records a packet of the client.
  void touch(TrackedFlow &Flow, TimePoint Now) noexcept;
  /// Stops tracking a flow that has ended. Does nothing if it is not tracked.
  void erase(const affinity::FlowKey &Key);
  using Entry = std::pair<affinity::FlowKey, TrackedFlow>;
  struct Timeouts {
    /// Flows whose client has sent nothing for too long: during the handshake
    /// or a request, which no longer counts as a load, or for the idle timeout.
    /// Each silence is reported once.
    std::vector<Entry> Silent_;
    /// Flows whose answer has become overdue.
    std::vector<Entry> Overdue_;
  };

  /// Evicts idle flows and detects abandoned requests and overdue answers; each
  /// overdue answer is reported once. To be called several times per second.
  Timeouts expire(TimePoint Now);

  /// Returns the number of flows at an upstream whose handshake or request is
  /// in progress.
  [[nodiscard]] std::uint32_t active(affinity::Tag Upstream) const noexcept;
  using ActiveCounts = std::vector<std::pair<affinity::Tag, std::uint32_t>>;
  /// Returns the number of active flows at each upstream that has any.
  [[nodiscard]] ActiveCounts activeCounts() const;
  /// Returns the number of tracked flows at an upstream.
  [[nodiscard]] std::uint32_t tracked(affinity::Tag Upstream) const noexcept;
  /// Returns the number of tracked flows at all upstreams.
  [[nodiscard]] std::size_t size() const noexcept { return Flows_.size(); }

private:
  struct Counts {
    std::uint32_t Tracked_ = 0;
    std::uint32_t Active_ = 0;
  };

  /// The next time at which something may be due for a flow.
  using Check = std::pair<TimePoint, affinity::FlowKey>;

  /// Adds a flow to the counts of its upstream, or removes it.
  void count(const TrackedFlow &Flow);
  void release(const TrackedFlow &Flow) noexcept;
  /// Queues a check for the flow's next deadline, unless one is queued that is
  /// not later.
  void scheduleCheck(const affinity::FlowKey &Key, TrackedFlow &Flow);

  std::unordered_map<affinity::FlowKey, TrackedFlow> Flows_;
  std::unordered_map<affinity::Tag, Counts> Counts_;
  /// The earliest check first. A check whose time is not the flow's NextCheck_
  /// is outdated.
  std::priority_queue<Check, std::vector<Check>, std::greater<>> Checks_;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_FLOW_TRACKER_HPP
