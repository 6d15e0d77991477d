#ifndef MEDLARMOOR_FLOW_PEER_LINK_HPP
#define MEDLARMOOR_FLOW_PEER_LINK_HPP

#include <medlarmoor/core/random.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/flow/update.hpp>

#include <deque>
#include <optional>
#include <vector>

namespace medlarmoor::flow {

/// Both directions of acknowledged updates with one other entry: each arrives
/// once and in order, or is sent again (go-back-N). Other updates pass beside
/// it.
class PeerLink {
public:
  explicit PeerLink(Random &Generator);

  /// Puts an update in line.
  void push(Update Next);
  /// The updates to send now: new ones within the window, and the oldest ones
  /// again when they were not acknowledged in time.
  [[nodiscard]] std::vector<Update> due(TimePoint Now);
  /// The receiver expects Place next. A receiver that has started over is sent
  /// all that waits from the start.
  void acknowledged(StreamPlace Place);
  /// Everything pushed has been acknowledged.
  [[nodiscard]] bool idle() const noexcept { return Waiting_.empty(); }

  /// True when the update at Place is the next one and may be acted on.
  [[nodiscard]] bool accept(StreamPlace Place);
  /// What to acknowledge to the other side, if anything is new.
  [[nodiscard]] std::optional<StreamPlace> takeAcknowledgement();

private:
  void startOver();

  Random &Random_;
  std::uint32_t Epoch_ = 0;
  /// Sequence number of the front of Waiting_.
  std::uint32_t First_ = 0;
  /// How many at the front have been sent.
  std::size_t Sent_ = 0;
  TimePoint SentAt_;
  std::deque<Update> Waiting_;

  std::optional<std::uint32_t> PeerEpoch_;
  std::uint32_t Expected_ = 0;
  bool Owes_ = false;
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_PEER_LINK_HPP
