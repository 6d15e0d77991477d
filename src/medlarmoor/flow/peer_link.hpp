#ifndef MEDLARMOOR_FLOW_PEER_LINK_HPP
#define MEDLARMOOR_FLOW_PEER_LINK_HPP

#include <medlarmoor/core/random.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/flow/update.hpp>

#include <deque>
#include <optional>
#include <vector>

namespace medlarmoor::flow {

/// Both directions of acknowledged updates with one other entry. Each update is
/// accepted once and in order; updates that are not acknowledged are
/// retransmitted (go-back-N). Other updates are sent without the link.
class PeerLink {
public:
  explicit PeerLink(Random &Generator);

  /// Queues an update for transmission.
  void push(Update Queued);
  /// Returns the updates to send now: new ones within the window, and those in
  /// flight again if they were not acknowledged in time.
  [[nodiscard]] std::vector<Update> takeDue(TimePoint Now);
  /// Processes an acknowledgement: the receiver expects Position next. If the
  /// receiver has restarted, all queued updates are sent from the start.
  void onAcknowledged(StreamPosition Position);
  /// Returns true if everything pushed has been acknowledged.
  [[nodiscard]] bool idle() const noexcept { return Queue_.empty(); }

  /// Records that the update at Position was received. Returns true if it is
  /// the expected one and is to be applied.
  [[nodiscard]] bool accept(StreamPosition Position);
  /// Returns the position to acknowledge to the other entry, or nothing if no
  /// update was received since the last call.
  [[nodiscard]] std::optional<StreamPosition> takeAcknowledgement();

private:
  void restartStream();

  Random &Random_;
  std::uint32_t Epoch_ = 0;
  /// Sequence number of the front of Queue_.
  std::uint32_t FirstSequence_ = 0;
  /// Number of updates at the front of Queue_ that are in flight.
  std::size_t InFlight_ = 0;
  TimePoint SentAt_;
  /// Updates that have not been acknowledged.
  std::deque<Update> Queue_;

  std::optional<std::uint32_t> PeerEpoch_;
  std::uint32_t ExpectedSequence_ = 0;
  bool AcknowledgementDue_ = false;
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_PEER_LINK_HPP
