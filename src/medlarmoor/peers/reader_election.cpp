#include <medlarmoor/peers/reader_election.hpp>

#include <medlarmoor/peers/member_table.hpp>

#include <algorithm>

namespace medlarmoor::peers {

ReaderElection::ReaderElection(Endpoint Self, ElectionTiming Timing)
    : Self_(Self), Timing_(Timing) {}

bool ReaderElection::trusts(const Announcement &From,
                            bool SelfReading) const noexcept {
  if (!From.Reading_ || !current(From.Upstreams_) || !current(From.Routes_))
    return false;
  return !SelfReading || precedence(From.From_) < precedence(Self_);
}

TimePoint ReaderElection::deferUntil(TimePoint Now,
                                     std::size_t Rank) const noexcept {
  const Millis Step = std::min(Timing_.LongestStep_,
                               Timing_.Step_ * static_cast<Millis::rep>(Rank));
  return Now + Timing_.Silence_ + Step;
}

bool ReaderElection::current(
    const std::optional<CollectionState> &Each) const noexcept {
  return Each && Each->Age_ < Timing_.Trust_;
}

} // namespace medlarmoor::peers
