#include <medlarmoor/core/hash.hpp>
#include <medlarmoor/flow/director.hpp>

namespace medlarmoor::flow {

namespace {

using membership::Member;

/// Ticks in which the whole table is swept, and the lower number that applies
/// after a change of view or configuration.
constexpr std::size_t SweepTicks = 50;
constexpr std::size_t FastSweepTicks = 10;
/// Callers retransmit a first packet after at most 32 s.
constexpr Stamp UnansweredSeconds = 35;
/// After a FIN the other direction may continue for a short time.
constexpr Stamp ClosingSeconds = 30;
/// A record whose flow has moved to another home is kept this long, for packets
/// that still arrive here.
constexpr Stamp MovedSeconds = 3;

Stamp secondsOf(Nanos Duration) {
  return static_cast<Stamp>(
      std::chrono::duration_cast<Seconds>(Duration).count());
}

} // namespace

void Director::tick() {
  readClock();
  Homes_.tick(Now_);
  if (Now_ - RetiredAt_ >= Seconds(1)) {
    RetiredAt_ = Now_;
    Tracker_.services().retire(Now_, Idle_);
  }
  sweep();
  Replicator_.tick(Now_);
}

void Director::sweep() {
  if (Homes_.suspended())
    return;
  const std::size_t Ticks = Now_ < FastUntil_ ? FastSweepTicks : SweepTicks;
  Tracker_.table().sweep(
      Tracker_.table().slots() / Ticks + 1,
      [this](FlowRecord &Record) { return sweepRecord(Record); });
}

/// Updates one record: ends it if it has expired, and promotes, demotes or
/// removes it if its home has changed. Returns true if it is to be erased.
bool Director::sweepRecord(FlowRecord &Record) {
  if (expired(Record)) {
    if (Record.has(FlowRecord::Replicated))
      Replicator_.queueEnded(Record);
    Tracker_.removeFromCounts(Record);
    return true;
  }
  if (Homes_.leaving())
    return false;
  const FlowId Id = Record.id();
  const std::uint64_t Seed = Tracker_.serviceOf(Id).seed();
  const Member *Home = Homes_.home(Id, Seed);
  const bool Replica = Record.has(FlowRecord::Replica);
  if (Homes_.isSelf(Home)) {
    if (Replica && Homes_.previous(Id, Seed, false) == nullptr)
      Tracker_.promote(Record);
    if (Record.open() && Tracker_.isOverride(Record))
      ensureReplicated(Record, Homes_.homeWithout(Id, Seed, Home->Name_));
    return false;
  }
  if (Replica || secondsBetween(Record.LastPacketAt_, Stamp_) < MovedSeconds)
    return false;
  const bool IsSuccessor =
      Home != nullptr &&
      Homes_.isSelf(Homes_.homeWithout(Id, Seed, Home->Name_));
  if (IsSuccessor && Record.open() && Tracker_.isOverride(Record)) {
    Tracker_.demote(Record);
    Record.LastPacketAt_ = Stamp_;
    return false;
  }
  Tracker_.removeFromCounts(Record);
  return true;
}

bool Director::expired(const FlowRecord &Record) const noexcept {
  const Stamp Age = secondsBetween(Record.LastPacketAt_, Stamp_);
  const Stamp Idle = secondsOf(Idle_);
  if (Record.has(FlowRecord::Replica))
    return Age > Idle + Idle / 2;
  if (Record.has(FlowRecord::Closing))
    return Age > std::min(ClosingSeconds, Idle);
  if (!Record.has(FlowRecord::Established))
    return Age > std::min(UnansweredSeconds, Idle);
  return Age > Idle;
}

/// Queues an override for replication unless its successor holds a recent
/// replica. Successor may be null.
void Director::ensureReplicated(FlowRecord &Record, const Member *Successor) {
  if (Successor == nullptr)
    return;
  const auto Tag =
      static_cast<std::uint16_t>(hashText(Successor->Name_.value()));
  const bool Fresh =
      secondsBetween(Record.ReplicatedAt_, Stamp_) < secondsOf(Idle_) / 2;
  const bool Known = Record.has(FlowRecord::Replicated) &&
                     Record.ReplicatedTo_ == Tag && Fresh;
  if (!Known)
    Replicator_.queue(Record);
}

} // namespace medlarmoor::flow
