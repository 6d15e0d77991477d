#include <harness/fleet_membership.hpp>

namespace medlarmoor::harness {

namespace {

/// How long the others miss heartbeats before they act.
constexpr Nanos Lease = Seconds(1);
/// The fabric learns of changes this much later.
constexpr Nanos FabricLag = Seconds(2);
/// A leaving entry stays this long after it has announced that it leaves.
constexpr Nanos LeavingStays = Seconds(8);
/// Heartbeats of a woken entry are heard again after this time.
constexpr Nanos Rejoins = Millis(500);

} // namespace

std::size_t FleetMembership::join() {
  const std::size_t Entry = Fleet_.add();
  Live_.insert(Entry);
  publish();
  publishTo(Entry);
  Fleet_.schedule(FabricLag, [this, Entry] { Sprayed_.insert(Entry); });
  return Entry;
}

void FleetMembership::leave(std::size_t Entry) {
  Fleet_.leave(Entry);
  awaitHandOver(Entry);
}

void FleetMembership::awaitHandOver(std::size_t Entry) {
  if (!Fleet_.serves(Entry))
    return;
  if (!Fleet_.director(Entry).handedOver()) {
    Fleet_.schedule(FlowFleet::Step, [this, Entry] { awaitHandOver(Entry); });
    return;
  }
  Live_.erase(Entry);
  Leaving_.insert(Entry);
  publish();
  Fleet_.schedule(FabricLag, [this, Entry] { Sprayed_.erase(Entry); });
  Fleet_.schedule(LeavingStays, [this, Entry] {
    Fleet_.kill(Entry);
    remove(Entry);
  });
}

void FleetMembership::die(std::size_t Entry) {
  Fleet_.kill(Entry);
  Fleet_.schedule(Lease, [this, Entry] { remove(Entry); });
  Fleet_.schedule(FabricLag, [this, Entry] { Sprayed_.erase(Entry); });
}

void FleetMembership::pause(std::size_t Entry, Nanos Span) {
  Fleet_.pause(Entry);
  Fleet_.schedule(Lease, [this, Entry] { remove(Entry); });
  Fleet_.schedule(Span, [this, Entry] { Fleet_.wake(Entry); });
  Fleet_.schedule(Span + Rejoins, [this, Entry] {
    Live_.insert(Entry);
    publish();
  });
}

void FleetMembership::settle() {
  for (const std::size_t Entry : Live_) {
    Sprayed_.insert(Entry);
    publishTo(Entry);
  }
}

std::vector<std::size_t> FleetMembership::sprayed() const {
  return {Sprayed_.begin(), Sprayed_.end()};
}

void FleetMembership::publish() {
  for (std::size_t Entry = 0; Entry < Fleet_.size(); ++Entry)
    if (Fleet_.alive(Entry))
      publishTo(Entry);
}

/// Shows the members of now, after the entry's lag.
void FleetMembership::publishTo(std::size_t Entry) {
  std::set<std::size_t> Members = Live_;
  Members.insert(Leaving_.begin(), Leaving_.end());
  const auto Show = [this, Entry, Members, Leaving = Leaving_] {
    Fleet_.show(Entry, Members, Leaving);
  };
  const auto Lag = Lags_.find(Entry);
  if (Lag == Lags_.end() || Lag->second == Nanos(0))
    Show();
  else
    Fleet_.schedule(Lag->second, Show);
}

void FleetMembership::remove(std::size_t Entry) {
  Live_.erase(Entry);
  Leaving_.erase(Entry);
  publish();
}

} // namespace medlarmoor::harness
