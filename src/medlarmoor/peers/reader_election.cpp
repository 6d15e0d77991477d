#include <medlarmoor/peers/reader_election.hpp>

#include <medlarmoor/peers/member_table.hpp>

#include <algorithm>

namespace medlarmoor::peers {

ReaderElection::ReaderElection(Endpoint Self, ElectionTiming Timing)
    : Self_(Self), Timing_(Timing) {}

bool ReaderElection::trusts(const Announcement &Message,
                            bool IsReader) const noexcept {
  if (!Message.IsReader_ || !isCurrent(Message.Upstreams_) ||
      !isCurrent(Message.Routes_))
    return false;
  return !IsReader || precedence(Message.From_) < precedence(Self_);
}

TimePoint ReaderElection::deferUntil(TimePoint Now,
                                     std::size_t Rank) const noexcept {
  const Millis Delay =
      std::min(Timing_.MaxTakeoverDelay_,
               Timing_.TakeoverStep_ * static_cast<Millis::rep>(Rank));
  return Now + Timing_.SilencePeriod_ + Delay;
}

bool ReaderElection::isCurrent(
    const std::optional<CollectionState> &State) const noexcept {
  return State && State->Age_ < Timing_.TrustPeriod_;
}

} // namespace medlarmoor::peers
