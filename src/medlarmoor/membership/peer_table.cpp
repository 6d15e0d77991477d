#include <medlarmoor/membership/peer_table.hpp>

#include <algorithm>
#include <tuple>

namespace medlarmoor::membership {

namespace {

using wire::Phase;

/// Of two facts of one run the greater one counts. A member raises its own
/// generation with each change of its phase, so only suspicion and death share
/// a generation with what the member said.
std::tuple<std::uint32_t, unsigned> rank(std::uint32_t Generation,
                                         Phase Phase) noexcept {
  const unsigned Severity = Phase == Phase::Gone        ? 2
                            : Phase == Phase::Suspected ? 1
                                                        : 0;
  return {Generation, Severity};
}

} // namespace

Verdict PeerTable::apply(const wire::MemberNews &Fact, TimePoint Now) {
  const auto At = Peers_.find(Fact.Name_);
  if (At == Peers_.end())
    return insert(Fact, Now);
  Peer &Each = At->second;
  if (Fact.Incarnation_ < Each.Run_)
    return Verdict::Stale;
  const wire::MemberNews Known = Each.news();
  if (Fact.Incarnation_ == Each.Run_ &&
      rank(Fact.Generation_, Fact.Phase_) <=
          rank(Known.Generation_, Known.Phase_))
    return Verdict::Known;
  take(Each, Fact, Now);
  return Verdict::New;
}

Verdict PeerTable::insert(const wire::MemberNews &Fact, TimePoint Now) {
  if (Fact.Phase_ == Phase::Suspected || Fact.Phase_ == Phase::Gone)
    return Verdict::Known;
  if (Peers_.size() >= Capacity_)
    return Verdict::Full;
  Peer &Each = Peers_[Fact.Name_];
  Each.Name_ = Fact.Name_;
  take(Each, Fact, Now);
  return Verdict::New;
}

void PeerTable::take(Peer &Each, const wire::MemberNews &Fact, TimePoint Now) {
  if (Fact.Incarnation_ > Each.Run_)
    Each.Phase_ = Phase::Joining;
  Each.Run_ = Fact.Incarnation_;
  Each.Generation_ = Fact.Generation_;
  Each.Address_ = Fact.Address_;
  if (Fact.Phase_ == Phase::Suspected) {
    Each.Suspected_ = Now;
    return;
  }
  Each.Phase_ = Fact.Phase_;
  Each.Suspected_.reset();
  Each.Heard_ = Now;
}

void PeerTable::heard(Peer &Each, TimePoint Now) noexcept {
  Each.Heard_ = Now;
  Each.Suspected_.reset();
}

Peer *PeerTable::find(const EntryName &Name) noexcept {
  const auto At = Peers_.find(Name);
  return At == Peers_.end() ? nullptr : &At->second;
}

const Peer *PeerTable::find(const EntryName &Name) const noexcept {
  const auto At = Peers_.find(Name);
  return At == Peers_.end() ? nullptr : &At->second;
}

std::vector<Peer *> PeerTable::suspectSilent(TimePoint Now, Nanos Silence) {
  std::vector<Peer *> Out;
  for (auto &[Name, Each] : Peers_) {
    if (!Each.active() || !Each.Watched_ || Each.Suspected_ ||
        Now - Each.Heard_ < Silence)
      continue;
    Each.Suspected_ = Now;
    Out.push_back(&Each);
  }
  return Out;
}

std::vector<Peer *> PeerTable::expireSuspected(TimePoint Now, Nanos Period) {
  std::vector<Peer *> Out;
  for (auto &[Name, Each] : Peers_) {
    if (!Each.active() || !Each.Suspected_ ||
        Now - std::max(*Each.Suspected_, Each.Heard_) < Period)
      continue;
    Each.Phase_ = Phase::Gone;
    Each.Suspected_.reset();
    Each.Heard_ = Now;
    Out.push_back(&Each);
  }
  return Out;
}

void PeerTable::forgetGone(TimePoint Now) {
  std::erase_if(Peers_, [&](const auto &Pair) {
    const Peer &Each = Pair.second;
    return !Each.active() && Now - Each.Heard_ >= Remembered_;
  });
}

void PeerTable::forgive(TimePoint Now) noexcept {
  for (auto &[Name, Each] : Peers_)
    heard(Each, Now);
}

std::size_t PeerTable::active() const noexcept {
  return static_cast<std::size_t>(
      std::count_if(Peers_.begin(), Peers_.end(),
                    [](const auto &Pair) { return Pair.second.active(); }));
}

} // namespace medlarmoor::membership
