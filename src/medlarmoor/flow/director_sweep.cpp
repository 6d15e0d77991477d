#include <medlarmoor/core/hash.hpp>
#include <medlarmoor/flow/director.hpp>

namespace medlarmoor::flow {

namespace {

using membership::Member;

/// The whole table is looked through in this many ticks, and in fewer after a
/// change of view or configuration.
constexpr std::size_t SweepTicks = 50;
constexpr std::size_t FastSweepTicks = 10;
/// A first packet is repeated after at most 32 s.
constexpr Stamp UnansweredSeconds = 35;
/// After a FIN the other direction may go on a little.
constexpr Stamp ClosingSeconds = 30;
/// A record of which another entry is home by now stays this long, for packets
/// that still come here.
constexpr Stamp MovedSeconds = 3;

Stamp secondsOf(Nanos Span) {
  return static_cast<Stamp>(std::chrono::duration_cast<Seconds>(Span).count());
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
      [this](FlowRecord &Each) { return sweepRecord(Each); });
}

/// Brings one record up to date; true when it is to be erased.
bool Director::sweepRecord(FlowRecord &Record) {
  if (expired(Record)) {
    if (Record.has(FlowRecord::Replicated))
      Replicator_.queueEnded(Record);
    Tracker_.release(Record);
    return true;
  }
  if (Homes_.leaving())
    return false;
  const FlowId Id = Record.id();
  const std::uint64_t Seed = Tracker_.serviceOf(Id).seed();
  const Member *Home = Homes_.home(Id, Seed);
  const bool Copy = Record.has(FlowRecord::Replica);
  if (Homes_.isSelf(Home)) {
    if (Copy && Homes_.previous(Id, Seed, false) == nullptr)
      Tracker_.promote(Record);
    if (Record.open() && Tracker_.isOverride(Record))
      ensureReplicated(Record, Homes_.homeWithout(Id, Seed, Home->Name_));
    return false;
  }
  if (Copy || secondsBetween(Record.LastPacketAt_, Stamp_) < MovedSeconds)
    return false;
  const bool Next = Home != nullptr &&
                    Homes_.isSelf(Homes_.homeWithout(Id, Seed, Home->Name_));
  if (Next && Record.open() && Tracker_.isOverride(Record)) {
    Tracker_.demote(Record);
    Record.LastPacketAt_ = Stamp_;
    return false;
  }
  Tracker_.release(Record);
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

/// Sees to it that the next home in line knows of an exception.
void Director::ensureReplicated(FlowRecord &Record, const Member *Next) {
  if (Next == nullptr)
    return;
  const auto Tag = static_cast<std::uint16_t>(hashText(Next->Name_.value()));
  const bool Fresh =
      secondsBetween(Record.ReplicatedAt_, Stamp_) < secondsOf(Idle_) / 2;
  const bool Known = Record.has(FlowRecord::Replicated) &&
                     Record.ReplicatedTo_ == Tag && Fresh;
  if (!Known)
    Replicator_.queue(Record);
}

} // namespace medlarmoor::flow
