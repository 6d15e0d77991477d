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

/// Tells the other entries what they cannot compute: exceptions for the next
/// home in line, counts of open flows, and on a change of home all exceptions
/// for the new one. Keeps to a budget of bytes.
class Replicator {
public:
  /// BytesPerSecond bounds what it sends while no home changes; a change of
  /// home may use twice as much.
  Replicator(ConnectionTracker &Tracker, HomeTracker &Where, Random &Generator,
             std::uint32_t BytesPerSecond);

  /// The flow is, or has become, an exception that its next home must know.
  void queue(FlowRecord &Record);
  /// The flow was decided here although another entry is its home.
  void notifyHome(const FlowRecord &Record);
  /// A replicated exception has ended.
  void queueEnded(const FlowRecord &Record);
  /// Hands everything over to the other members and then tells that this
  /// entry has left.
  void leave();
  [[nodiscard]] bool handedOver() const noexcept;
  /// Forgets members that are no longer in the view, and all that waits when
  /// this entry starts anew.
  void adoptView(bool Anew);
  /// Tries again what named upstreams that were not known yet.
  void adoptConfiguration(TimePoint Now);

  void receive(const EntryName &From, const Update &Told, TimePoint Now);
  /// Prepares what is due.
  void tick(TimePoint Now);
  /// The messages to send now, acknowledgements among them.
  [[nodiscard]] std::vector<wire::Outgoing> takeOutgoing(TimePoint Now);

  /// Bytes of updates sent so far, without their signed envelopes.
  [[nodiscard]] std::uint64_t bytesSent() const noexcept { return BytesSent_; }
  /// Exceptions that wait for the budget.
  [[nodiscard]] std::size_t backlog() const noexcept { return Queue_.size(); }

private:
  /// What is handed over to one member.
  struct Transfer {
    std::deque<WireException> Exceptions_;
    std::deque<WireCount> Counts_;
    Update Last_;
  };
  struct Peer {
    explicit Peer(Random &Generator) : Link_(Generator) {}

    PeerLink Link_;
    std::optional<Transfer> Transfer_;
    /// Sent beside the link with the next batch.
    Update Next_;
    /// Flows it holds open by (service index << 16 | upstream index).
    std::map<std::uint32_t, std::uint32_t> Counts_;
  };

  [[nodiscard]] Peer &peer(const EntryName &Name);
  [[nodiscard]] WireFlow wireFlow(FlowId Id);
  [[nodiscard]] WireException wireException(const FlowRecord &Record);
  [[nodiscard]] std::optional<FlowId> localFlow(const WireFlow &Flow) const;
  [[nodiscard]] const membership::Member *nextHome(FlowId Id);

  void leaveTo();
  void startTransfer(const EntryName &To, Update Last);
  void grantTo(const EntryName &To, ViewId Seen);
  void continueTransfer(Peer &To);
  bool takeException(const WireException &Told, TimePoint Now);
  void relay(const EntryName &From, const WireException &Told,
             std::uint8_t Relays);
  void passOnCopies(const EntryName &Of);
  void takeCount(Peer &From, const WireCount &Told);
  void forgetCounts(Peer &From);

  void refill(TimePoint Now);
  void claim(TimePoint Now);
  void batch(TimePoint Now);
  void batchExceptions(TimePoint Now);
  void batchEnded();
  void batchCounts(TimePoint Now);
  void sendBatch(const EntryName &To, Update Batch);
  void send(const EntryName &To, Update Out);

  ConnectionTracker &Tracker_;
  HomeTracker &Homes_;
  Random &Random_;
  double Rate_;
  double Tokens_ = 0;
  TimePoint RefilledAt_;
  TimePoint BatchedAt_;
  TimePoint ClaimedAt_;
  std::map<EntryName, Peer> Peers_;
  /// Keys of records that wait to be replicated.
  std::deque<std::uint64_t> Queue_;
  std::deque<std::uint64_t> Ended_;
  std::vector<WireException> Unresolved_;
  std::vector<wire::Outgoing> Outgoing_;
  std::size_t CountCursor_ = 0;
  bool LeaveStarted_ = false;
  /// Members that were told, and whether they were handed something.
  std::map<EntryName, bool> LeftTo_;
  std::uint64_t BytesSent_ = 0;
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_REPLICATOR_HPP
