#include <medlarmoor/flow/peer_link.hpp>

#include <algorithm>

namespace medlarmoor::flow {

namespace {

/// Updates under way at once.
constexpr std::size_t Window = 4;
constexpr Nanos ResendAfter = Millis(300);

} // namespace

PeerLink::PeerLink(Random &Generator) : Random_(Generator) { startOver(); }

void PeerLink::startOver() {
  Epoch_ = static_cast<std::uint32_t>(Random_());
  First_ = 0;
  Sent_ = 0;
}

void PeerLink::push(Update Next) { Waiting_.push_back(std::move(Next)); }

std::vector<Update> PeerLink::due(TimePoint Now) {
  if (Sent_ > 0 && Now - SentAt_ >= ResendAfter)
    Sent_ = 0;
  std::vector<Update> Out;
  const std::size_t End = std::min(Waiting_.size(), Window);
  for (; Sent_ < End; ++Sent_) {
    Out.push_back(Waiting_[Sent_]);
    Out.back().Place_ =
        StreamPlace{Epoch_, First_ + static_cast<std::uint32_t>(Sent_)};
    SentAt_ = Now;
  }
  return Out;
}

void PeerLink::acknowledged(StreamPlace Place) {
  if (Place.Epoch_ != Epoch_)
    return;
  if (Place.Sequence_ < First_) {
    // The receiver has lost its place: it restarted.
    startOver();
    return;
  }
  while (First_ < Place.Sequence_ && !Waiting_.empty()) {
    Waiting_.pop_front();
    ++First_;
    Sent_ -= Sent_ > 0 ? 1 : 0;
  }
}

bool PeerLink::accept(StreamPlace Place) {
  Owes_ = true;
  if (PeerEpoch_ != Place.Epoch_) {
    PeerEpoch_ = Place.Epoch_;
    Expected_ = 0;
  }
  if (Place.Sequence_ != Expected_)
    return false;
  ++Expected_;
  return true;
}

std::optional<StreamPlace> PeerLink::takeAcknowledgement() {
  if (!Owes_ || !PeerEpoch_)
    return std::nullopt;
  Owes_ = false;
  return StreamPlace{*PeerEpoch_, Expected_};
}

} // namespace medlarmoor::flow
