#include <medlarmoor/flow/peer_link.hpp>

#include <algorithm>

namespace medlarmoor::flow {

namespace {

/// Maximum number of updates in flight.
constexpr std::size_t Window = 4;
constexpr Nanos RetransmitTimeout = Millis(300);

} // namespace

PeerLink::PeerLink(Random &Generator) : Random_(Generator) { restartStream(); }

void PeerLink::restartStream() {
  Epoch_ = static_cast<std::uint32_t>(Random_());
  FirstSequence_ = 0;
  InFlight_ = 0;
}

void PeerLink::push(Update Queued) { Queue_.push_back(std::move(Queued)); }

std::vector<Update> PeerLink::takeDue(TimePoint Now) {
  if (InFlight_ > 0 && Now - SentAt_ >= RetransmitTimeout)
    InFlight_ = 0;
  std::vector<Update> Due;
  const std::size_t End = std::min(Queue_.size(), Window);
  for (; InFlight_ < End; ++InFlight_) {
    Due.push_back(Queue_[InFlight_]);
    Due.back().Position_ = StreamPosition{
        Epoch_, FirstSequence_ + static_cast<std::uint32_t>(InFlight_)};
    SentAt_ = Now;
  }
  return Due;
}

void PeerLink::onAcknowledged(StreamPosition Position) {
  if (Position.Epoch_ != Epoch_)
    return;
  if (Position.Sequence_ < FirstSequence_) {
    // The receiver expects an update that it has acknowledged already, so it
    // has lost its position in a restart.
    restartStream();
    return;
  }
  while (FirstSequence_ < Position.Sequence_ && !Queue_.empty()) {
    Queue_.pop_front();
    ++FirstSequence_;
    InFlight_ -= InFlight_ > 0 ? 1 : 0;
  }
}

bool PeerLink::accept(StreamPosition Position) {
  AcknowledgementDue_ = true;
  if (PeerEpoch_ != Position.Epoch_) {
    PeerEpoch_ = Position.Epoch_;
    ExpectedSequence_ = 0;
  }
  if (Position.Sequence_ != ExpectedSequence_)
    return false;
  ++ExpectedSequence_;
  return true;
}

std::optional<StreamPosition> PeerLink::takeAcknowledgement() {
  if (!AcknowledgementDue_ || !PeerEpoch_)
    return std::nullopt;
  AcknowledgementDue_ = false;
  return StreamPosition{*PeerEpoch_, ExpectedSequence_};
}

} // namespace medlarmoor::flow
