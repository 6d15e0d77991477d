#include <medlarmoor/flow/connection_tracker.hpp>

namespace medlarmoor::flow {

namespace {

/// Divisor of the flow limit that yields the extra slots for replicas and
/// closing flows.
constexpr std::size_t SpareDivisor = 4;

} // namespace

ConnectionTracker::ConnectionTracker(DomainName Domain,
                                     std::size_t MaxOpenFlows)
    : Services_(std::move(Domain)),
      Table_(MaxOpenFlows + MaxOpenFlows / SpareDivisor),
      MaxOpenFlows_(MaxOpenFlows) {}

bool ConnectionTracker::isOverride(const FlowRecord &Record) noexcept {
  const FlowId Id = Record.id();
  return Record.has(FlowRecord::ReplacesReplica) ||
         serviceOf(Id).isOverride(Id.Hash_, Record.Upstream_);
}

FlowRecord *ConnectionTracker::open(FlowId Id, UpstreamIndex Upstream,
                                    Rule ChosenBy) {
  if (Open_ >= MaxOpenFlows_)
    return nullptr;
  FlowRecord *Record = Table_.insert(Id);
  if (Record == nullptr)
    return nullptr;
  Record->Upstream_ = Upstream;
  Record->Rule_ = ChosenBy;
  Record->ConfigVersion_ =
      static_cast<std::uint32_t>(Services_.version().value());
  ++upstreamOf(*Record).Records_;
  count(*Record, 1);
  return Record;
}

FlowRecord *ConnectionTracker::storeReplica(FlowId Id, UpstreamIndex Upstream,
                                            Stamp ReceivedAt) {
  FlowRecord *Record = Table_.find(Id);
  if (Record != nullptr) {
    removeFromCounts(*Record);
    const std::uint64_t Key = Record->Key_;
    *Record = FlowRecord();
    Record->Key_ = Key;
  } else {
    Record = Table_.insert(Id);
  }
  if (Record == nullptr)
    return nullptr;
  Record->Upstream_ = Upstream;
  Record->Rule_ = Rule::Replicated;
  Record->LastPacketAt_ = ReceivedAt;
  Record->ConfigVersion_ =
      static_cast<std::uint32_t>(Services_.version().value());
  Record->set(FlowRecord::Replica);
  Record->set(FlowRecord::Established);
  ++upstreamOf(*Record).Records_;
  return Record;
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
  removeFromCounts(*Record);
  Table_.erase(Record);
}

void ConnectionTracker::removeFromCounts(const FlowRecord &Record) noexcept {
  if (Record.open())
    count(Record, -1);
  --upstreamOf(Record).Records_;
}

void ConnectionTracker::clear() noexcept {
  Table_.forEach([this](FlowRecord &Record) { removeFromCounts(Record); });
  Table_.clear();
}

void ConnectionTracker::count(const FlowRecord &Record, int Step) noexcept {
  Open_ += static_cast<std::size_t>(Step);
  upstreamOf(Record).LocalOpen_ += static_cast<std::uint32_t>(Step);
}

} // namespace medlarmoor::flow
