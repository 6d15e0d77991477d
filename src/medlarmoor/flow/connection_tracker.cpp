#include <medlarmoor/flow/connection_tracker.hpp>

namespace medlarmoor::flow {

namespace {

/// Slots for copies and closing flows, as a share of the open flows.
constexpr std::size_t SpareDivisor = 4;

} // namespace

ConnectionTracker::ConnectionTracker(DomainName Domain, std::size_t Flows)
    : Services_(std::move(Domain)), Table_(Flows + Flows / SpareDivisor),
      Flows_(Flows) {}

bool ConnectionTracker::exceptional(const FlowRecord &Record) noexcept {
  const FlowId Id = Record.id();
  return Record.has(FlowRecord::Pinned) ||
         serviceOf(Id).exceptional(Id.Hash_, Record.Upstream_);
}

FlowRecord *ConnectionTracker::open(FlowId Id, UpstreamIndex Upstream,
                                    Rule Why) {
  if (Open_ >= Flows_)
    return nullptr;
  FlowRecord *Out = Table_.insert(Id);
  if (Out == nullptr)
    return nullptr;
  Out->Upstream_ = Upstream;
  Out->Rule_ = Why;
  Out->Version_ = static_cast<std::uint32_t>(Services_.version().value());
  ++upstreamOf(*Out).Held_;
  count(*Out, 1);
  return Out;
}

FlowRecord *ConnectionTracker::keepCopy(FlowId Id, UpstreamIndex Upstream,
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
  Out->Seen_ = At;
  Out->Version_ = static_cast<std::uint32_t>(Services_.version().value());
  Out->set(FlowRecord::Copy);
  Out->set(FlowRecord::Progressed);
  ++upstreamOf(*Out).Held_;
  return Out;
}

void ConnectionTracker::promote(FlowRecord &Record) noexcept {
  Record.clear(FlowRecord::Copy);
  Record.clear(FlowRecord::Copied);
  count(Record, 1);
}

void ConnectionTracker::demote(FlowRecord &Record) noexcept {
  if (Record.open())
    count(Record, -1);
  Record.set(FlowRecord::Copy);
  Record.clear(FlowRecord::Copied);
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
  --upstreamOf(Record).Held_;
}

void ConnectionTracker::clear() noexcept {
  Table_.forEach([this](FlowRecord &Each) { release(Each); });
  Table_.clear();
}

void ConnectionTracker::count(const FlowRecord &Record, int Step) noexcept {
  Open_ += static_cast<std::size_t>(Step);
  upstreamOf(Record).Open_ += static_cast<std::uint32_t>(Step);
}

} // namespace medlarmoor::flow
