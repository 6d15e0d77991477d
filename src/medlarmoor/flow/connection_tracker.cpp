#include <medlarmoor/flow/connection_tracker.hpp>

namespace medlarmoor::flow {

namespace {

/// Slots for copies and closing flows, as a share of the open flows.
constexpr std::size_t SpareDivisor = 4;

} // namespace

ConnectionTracker::ConnectionTracker(DomainName Domain, std::size_t Flows)
    : Services_(std::move(Domain)), Table_(Flows + Flows / SpareDivisor),
      Limit_(Flows) {}

bool ConnectionTracker::isOverride(const FlowRecord &Record) noexcept {
  const FlowId Id = Record.id();
  return Record.has(FlowRecord::ReplacesReplica) ||
         serviceOf(Id).isOverride(Id.Hash_, Record.Upstream_);
}

FlowRecord *ConnectionTracker::open(FlowId Id, UpstreamIndex Upstream,
                                    Rule Why) {
  if (Open_ >= Limit_)
    return nullptr;
  FlowRecord *Out = Table_.insert(Id);
  if (Out == nullptr)
    return nullptr;
  Out->Upstream_ = Upstream;
  Out->Rule_ = Why;
  Out->ConfigVersion_ = static_cast<std::uint32_t>(Services_.version().value());
  ++upstreamOf(*Out).Records_;
  count(*Out, 1);
  return Out;
}

FlowRecord *ConnectionTracker::storeReplica(FlowId Id, UpstreamIndex Upstream,
                                            Stamp At) {
  FlowRecord *Out = Table_.find(Id);
  if (Out != nullptr) {
    release(*Out);
    const std::uint64_t Key = Out->Key_;
    *Out = FlowRecord();
    Out->Key_ = Key;
  } else {
    Out = Table_.insert(Id);
  }
  if (Out == nullptr)
    return nullptr;
  Out->Upstream_ = Upstream;
  Out->Rule_ = Rule::Replicated;
  Out->LastPacketAt_ = At;
  Out->ConfigVersion_ = static_cast<std::uint32_t>(Services_.version().value());
  Out->set(FlowRecord::Replica);
  Out->set(FlowRecord::Established);
  ++upstreamOf(*Out).Records_;
  return Out;
}

void ConnectionTracker::promote(FlowRecord &Record) noexcept {
  Record.clear(FlowRecord::Replica);
  Record.clear(FlowRecord::Replicated);
  count(Record, 1);
}

void ConnectionTracker::demote(FlowRecord &Record) noexcept {
  if (Record.open())
    count(Record, -1);
  Record.set(FlowRecord::Replica);
  Record.clear(FlowRecord::Replicated);
}

void ConnectionTracker::close(FlowRecord &Record) noexcept {
  if (Record.open())
    count(Record, -1);
  Record.set(FlowRecord::Closing);
}

void ConnectionTracker::erase(FlowRecord *Record) noexcept {
  release(*Record);
  Table_.erase(Record);
}

void ConnectionTracker::release(const FlowRecord &Record) noexcept {
  if (Record.open())
    count(Record, -1);
  --upstreamOf(Record).Records_;
}

void ConnectionTracker::clear() noexcept {
  Table_.forEach([this](FlowRecord &Each) { release(Each); });
  Table_.clear();
}

void ConnectionTracker::count(const FlowRecord &Record, int Step) noexcept {
  Open_ += static_cast<std::size_t>(Step);
  upstreamOf(Record).LocalOpen_ += static_cast<std::uint32_t>(Step);
}

} // namespace medlarmoor::flow
