#ifndef MEDLARMOOR_FLOW_REPLICATOR_HPP
#define MEDLARMOOR_FLOW_REPLICATOR_HPP

#include <medlarmoor/core/random.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/flow/connection_tracker.hpp>
#include <medlarmoor/flow/home_tracker.hpp>
#include <medlarmoor/flow/peer_link.hpp>
#include <medlarmoor/wire/outgoing.hpp>

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace medlarmoor::flow {

/// Replicates to the other entries what they cannot compute: overrides to the
/// successor of a flow's home, counts of open flows to all, and all overrides
/// to the new home when the home changes. Limits its traffic to a budget.
class Replicator {
public:
  /// BytesPerSecond limits the traffic while no home changes; a change of home
  /// may use twice as much.
  Replicator(ConnectionTracker &Tracker, HomeTracker &FlowHomes,
             Random &Generator, std::uint32_t BytesPerSecond);

  /// Queues a flow that is or has become an override, for replication to the
  /// successor of its home.
  void queue(FlowRecord &Record);
  /// Sends the override of a flow that was decided here to the entry that is
  /// its home.
  void notifyHome(const FlowRecord &Record);
  /// Queues the end of a flow whose override was replicated.
  void queueEnded(const FlowRecord &Record);
  /// Begins to hand off everything to the other members. Each gets a leave
  /// notice at the end.
  void leave();
  /// Returns true if this entry leaves and the other members have acknowledged
  /// everything that was handed off.
  [[nodiscard]] bool handedOver() const noexcept;
  /// Discards the state of members that are no longer in the view. If
  /// Restarted, discards the state of all members and everything that is
  /// queued.
  void adoptView(bool Restarted);
  /// Retries the overrides whose service or upstream was not known yet.
  void adoptConfiguration(TimePoint Now);

  /// Applies an update from another entry.
  void receive(const EntryName &From, const Update &Received, TimePoint Now);
  /// Refills the budget and prepares the claims, transfers and batches that are
  /// due.
  void tick(TimePoint Now);
  /// Returns the messages to send now, including acknowledgements.
  [[nodiscard]] std::vector<wire::Outgoing> takeOutgoing(TimePoint Now);

  /// Bytes of updates sent so far, without their signed envelopes.
  [[nodiscard]] std::uint64_t bytesSent() const noexcept { return BytesSent_; }
  /// Number of overrides that wait for the budget.
  [[nodiscard]] std::size_t backlog() const noexcept { return Queue_.size(); }

private:
  /// What remains to be handed off to one member.
  struct Transfer {
    std::deque<WireOverride> Overrides_;
    std::deque<WireCount> Counts_;
    /// The grant or leave notice that ends the transfer.
    Update FinalUpdate_;
  };
  struct Peer {
    explicit Peer(Random &Generator) : Link_(Generator) {}

    PeerLink Link_;
    std::optional<Transfer> Transfer_;
    /// Goes out with the next batch, without acknowledgement.
    Update Batch_;
    /// Flows that the peer holds open, by
    /// (service index << 16 | upstream index).
    std::map<std::uint32_t, std::uint32_t> Counts_;
  };

  [[nodiscard]] Peer &peer(const EntryName &Name);
  [[nodiscard]] WireFlow wireFlow(FlowId Id);
  [[nodiscard]] WireOverride wireOverride(const FlowRecord &Record);
  [[nodiscard]] std::optional<FlowId> localFlow(const WireFlow &Flow) const;
  [[nodiscard]] const membership::Member *successorOf(FlowId Id);

  void startLeaveTransfers();
  void startTransfer(const EntryName &To, Update Final);
  void grantTo(const EntryName &To, ViewId ClaimedView);
  void continueTransfer(Peer &To);
  bool applyOverride(const WireOverride &Received, TimePoint Now);
  void relay(const EntryName &From, const WireOverride &Received,
             std::uint8_t Relays);
  void forwardReplicas(const EntryName &FormerHome);
  void applyCount(Peer &From, const WireCount &Received);
  void discardCounts(Peer &From);

  void refill(TimePoint Now);
  void claim(TimePoint Now);
  void batch(TimePoint Now);
  void batchOverrides(TimePoint Now);
  void batchEnded();
  void batchCounts(TimePoint Now);
  void sendBatch(const EntryName &To, Update Batch);
  void send(const EntryName &To, Update Outgoing);

  ConnectionTracker &Tracker_;
  HomeTracker &Homes_;
  Random &Random_;
  /// Budget in bytes per second.
  double Rate_;
  /// Bytes of the budget that may be sent now; negative after overuse.
  double Tokens_ = 0;
  TimePoint RefilledAt_;
  TimePoint BatchedAt_;
  TimePoint ClaimedAt_;
  std::map<EntryName, Peer> Peers_;
  /// Keys of the flows whose overrides wait to be replicated.
  std::deque<std::uint64_t> Queue_;
  /// Keys of the flows whose end waits to be replicated.
  std::deque<std::uint64_t> Ended_;
  /// Received overrides whose service or upstream is not known yet.
  std::vector<WireOverride> Unresolved_;
  std::vector<wire::Outgoing> Outgoing_;
  /// The service whose counts were batched last.
  std::size_t CountCursor_ = 0;
  bool LeaveStarted_ = false;
  /// Members to which a leave notice was prepared, and whether this entry hands
  /// off flows to them.
  std::map<EntryName, bool> LeaveNotified_;
  std::uint64_t BytesSent_ = 0;
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_REPLICATOR_HPP
