#include <medlarmoor/membership/peer_table.hpp>

#include <algorithm>
#include <tuple>

namespace medlarmoor::membership {

namespace {

using wire::Phase;

/// Returns the rank of an update among those of one incarnation; the update
/// with the higher rank takes precedence. A member increments its generation
/// with each change of its phase, so only Suspected and Gone can share a
/// generation with an update that the member itself sent.
std::tuple<std::uint32_t, unsigned> rank(std::uint32_t Generation,
                                         Phase Phase) noexcept {
  const unsigned Severity = Phase == Phase::Gone        ? 2
                            : Phase == Phase::Suspected ? 1
                                                        : 0;
  return {Generation, Severity};
}

} // namespace

ApplyResult PeerTable::apply(const wire::MemberUpdate &Update, TimePoint Now) {
  const auto Found = Peers_.find(Update.Name_);
  if (Found == Peers_.end())
    return insert(Update, Now);
  Peer &Known = Found->second;
  if (Update.Incarnation_ < Known.Run_)
    return ApplyResult::Stale;
  const wire::MemberUpdate Current = Known.toUpdate();
  if (Update.Incarnation_ == Known.Run_ &&
      rank(Update.Generation_, Update.Phase_) <=
          rank(Current.Generation_, Current.Phase_))
    return ApplyResult::Known;
  overwrite(Known, Update, Now);
  return ApplyResult::New;
}

ApplyResult PeerTable::insert(const wire::MemberUpdate &Update, TimePoint Now) {
  if (Update.Phase_ == Phase::Suspected || Update.Phase_ == Phase::Gone)
    return ApplyResult::Known;
  if (Peers_.size() >= Capacity_)
    return ApplyResult::Full;
  Peer &Added = Peers_[Update.Name_];
  Added.Name_ = Update.Name_;
  overwrite(Added, Update, Now);
  return ApplyResult::New;
}

void PeerTable::overwrite(Peer &Known, const wire::MemberUpdate &Update,
                          TimePoint Now) {
  if (Update.Incarnation_ > Known.Run_)
    Known.Phase_ = Phase::Joining;
  Known.Run_ = Update.Incarnation_;
  Known.Generation_ = Update.Generation_;
  Known.Address_ = Update.Address_;
  if (Update.Phase_ == Phase::Suspected) {
    Known.SuspectedSince_ = Now;
    return;
  }
  Known.Phase_ = Update.Phase_;
  Known.SuspectedSince_.reset();
  Known.LastHeard_ = Now;
}

void PeerTable::markHeard(Peer &Sender, TimePoint Now) noexcept {
  Sender.LastHeard_ = Now;
  Sender.SuspectedSince_.reset();
}

Peer *PeerTable::find(const EntryName &Name) noexcept {
  const auto Found = Peers_.find(Name);
  return Found == Peers_.end() ? nullptr : &Found->second;
}

const Peer *PeerTable::find(const EntryName &Name) const noexcept {
  const auto Found = Peers_.find(Name);
  return Found == Peers_.end() ? nullptr : &Found->second;
}

std::vector<Peer *> PeerTable::suspectSilent(TimePoint Now, Nanos Silence) {
  std::vector<Peer *> Suspects;
  for (auto &[Name, Candidate] : Peers_) {
    if (!Candidate.active() || !Candidate.Watched_ ||
        Candidate.SuspectedSince_ || Now - Candidate.LastHeard_ < Silence)
      continue;
    Candidate.SuspectedSince_ = Now;
    Suspects.push_back(&Candidate);
  }
  return Suspects;
}

std::vector<Peer *> PeerTable::expireSuspected(TimePoint Now, Nanos Period) {
  std::vector<Peer *> Expired;
  for (auto &[Name, Candidate] : Peers_) {
    if (!Candidate.active() || !Candidate.SuspectedSince_ ||
        Now - std::max(*Candidate.SuspectedSince_, Candidate.LastHeard_) <
            Period)
      continue;
    Candidate.Phase_ = Phase::Gone;
    Candidate.SuspectedSince_.reset();
    Candidate.LastHeard_ = Now;
    Expired.push_back(&Candidate);
  }
  return Expired;
}

void PeerTable::forgetGone(TimePoint Now) {
  std::erase_if(Peers_, [&](const auto &Entry) {
    const Peer &Candidate = Entry.second;
    return !Candidate.active() && Now - Candidate.LastHeard_ >= GoneRetention_;
  });
}

void PeerTable::markAllHeard(TimePoint Now) noexcept {
  for (auto &[Name, Candidate] : Peers_)
    markHeard(Candidate, Now);
}

std::size_t PeerTable::active() const noexcept {
  return static_cast<std::size_t>(
      std::count_if(Peers_.begin(), Peers_.end(),
                    [](const auto &Entry) { return Entry.second.active(); }));
}

} // namespace medlarmoor::membership
