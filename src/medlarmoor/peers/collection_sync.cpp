#include <medlarmoor/peers/collection_sync.hpp>

#include <medlarmoor/peers/precedence.hpp>

#include <algorithm>

namespace medlarmoor::peers {

CollectionSync::CollectionSync(objects::Follower &Collection, Endpoint Self,
                               FreshnessTiming Timing)
    : Collection_(Collection), Self_(Self), Timing_(Timing) {}

std::optional<CollectionState> CollectionSync::state(TimePoint Now) const {
  const auto AsOf = Collection_.currentAsOf();
  if (!AsOf)
    return std::nullopt;
  return CollectionState{Collection_.revision(), Collection_.lastChange(),
                         std::chrono::ceil<Millis>(Now - *AsOf), reader()};
}

bool CollectionSync::reading(TimePoint Now) const noexcept {
  const auto AsOf = Collection_.currentAsOf();
  return AsOf && Now - *AsOf < Timing_.TakeoverAge_ && reader() == Self_ &&
         !Collection_.deferring(Now);
}

SyncStep CollectionSync::receive(const CollectionState &Announced,
                                 TimePoint ArrivedAfter, std::size_t Instances,
                                 TimePoint Now) {
  const TimePoint AsOf = ArrivedAfter - Announced.Age_;
  if (!Collection_.currentAsOf() ||
      Announced.LastChange_ > Collection_.revision())
    return SyncStep::Pull;
  // A peer that is behind this instance is not relied on.
  if (Announced.Revision_ < Collection_.lastChange())
    return SyncStep::Ignore;
  // Of several readers, all instances come to follow the same one, also when
  // the data of another one is slightly more recent.
  const bool Yields = precedence(Announced.Reader_) < precedence(reader()) &&
                      Now - AsOf < Timing_.QueryAge_;
  const bool IsMoreRecent = !reading(Now) && AsOf > *Collection_.currentAsOf();
  if (!Yields && !IsMoreRecent)
    return SyncStep::Ignore;
  follow(Announced, AsOf, Instances);
  return SyncStep::Follow;
}

bool CollectionSync::adopt(const CollectionState &Received,
                           TimePoint RequestedAt, std::size_t Instances,
                           TimePoint Now) {
  // A newer revision may have arrived by another path while the request was in
  // flight.
  if (Collection_.currentAsOf() && Received.Revision_ < Collection_.revision())
    return false;
  const bool WasReading = reading(Now);
  const TimePoint AsOf = RequestedAt - Received.Age_;
  Collection_.adopt(Received.Revision_, Received.LastChange_, AsOf);
  if (!WasReading || precedence(Received.Reader_) < precedence(Self_))
    follow(Received, AsOf, Instances);
  return true;
}

bool CollectionSync::shouldQuery(TimePoint Now) const noexcept {
  const auto AsOf = Collection_.currentAsOf();
  return AsOf && Now - *AsOf >= Timing_.QueryAge_ &&
         Now - *AsOf < 2 * Timing_.TakeoverAge_;
}

bool CollectionSync::shouldAnswer(
    const std::optional<CollectionState> &Announced, Endpoint Peer,
    TimePoint Now) const noexcept {
  const auto AsOf = Collection_.currentAsOf();
  if (!AsOf || !Announced)
    return bool(AsOf);
  if (Now - *AsOf >= Timing_.QueryAge_)
    return false;
  return Announced->Age_ >= Timing_.QueryAge_ ||
         (Announced->Reader_ == Peer &&
          precedence(reader()) < precedence(Peer));
}

bool CollectionSync::takeSpread(TimePoint Now) {
  const auto AsOf = Collection_.currentAsOf();
  if (!AsOf || Now - *AsOf >= Timing_.TakeoverAge_)
    return false;
  const bool Changed = Collection_.lastChange() > SpreadChange_;
  const bool Refreshed =
      !SpreadAsOf_ || *AsOf >= *SpreadAsOf_ + Timing_.SpreadStep_;
  // Tells readers that do not know of each other which one continues.
  const bool Yielded = reader() != SpreadReader_ &&
                       precedence(reader()) < precedence(SpreadReader_);
  if (!Changed && !Refreshed && !Yielded)
    return false;
  SpreadChange_ = Collection_.lastChange();
  SpreadAsOf_ = *AsOf;
  SpreadReader_ = reader();
  return true;
}

TimePoint CollectionSync::takeoverTime(TimePoint AsOf,
                                       std::size_t Instances) const noexcept {
  return AsOf + Timing_.TakeoverAge_ +
         takeoverDelay(Self_, Instances, Timing_.MaxTakeoverDelay_);
}

void CollectionSync::follow(const CollectionState &Peer, TimePoint AsOf,
                            std::size_t Instances) {
  const TimePoint Latest =
      std::max(AsOf, Collection_.currentAsOf().value_or(AsOf));
  Collection_.defer(Peer.Revision_, AsOf, takeoverTime(Latest, Instances));
  FollowedReader_ = Peer.Reader_;
  FollowedAsOf_ = Latest;
}

Endpoint CollectionSync::reader() const noexcept {
  // The own reading replaces a followed one once it is more recent.
  return FollowedAsOf_ && Collection_.currentAsOf() <= *FollowedAsOf_
             ? FollowedReader_
             : Self_;
}

} // namespace medlarmoor::peers
