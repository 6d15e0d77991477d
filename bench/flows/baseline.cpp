#include <bench/flows/baseline.hpp>

#include <medlarmoor/flow/flow_id.hpp>

namespace medlarmoor::bench {

namespace {

using harness::Delivery;

Delivery toUpstream(const flow::UpstreamState &To, unsigned Entries) {
  return {Delivery::Kind::Upstream, To.Config_.Packets_, {}, Entries};
}

Delivery dropped(flow::DropReason Reason) {
  return {Delivery::Kind::Dropped, {}, Reason, 1};
}

} // namespace

Baseline::Baseline(FlowPolicy Policy, harness::FlowFleet &Fleet)
    : Policy_(Policy), Fleet_(Fleet) {}

Delivery Baseline::send(std::size_t Entry, Endpoint From, Endpoint To,
                        harness::Flags Set) {
  if (!Fleet_.serves(Entry))
    return {};
  const auto Service = Fleet_.director(Entry).tracker().services().find(To);
  if (!Service)
    return dropped(flow::DropReason::UnknownAddress);
  const flow::FlowId Id{*Service, flow::hashFlow(From, To)};
  switch (Policy_) {
  case FlowPolicy::Modulo:
    return modulo(Entry, Id);
  case FlowPolicy::LocalTables:
    return local(Entry, Id);
  case FlowPolicy::AlwaysHome:
    return home(Entry, Id);
  default:
    break;
  }
  if (!Set.Syn_ && settled(Entry, Id)) {
    flow::ServiceState &Of = Fleet_.director(Entry).tracker().serviceOf(Id);
    return toUpstream(Of.upstreams()[*Of.defaultOf(Id.Hash_)], 1);
  }
  return Fleet_.send(Entry, From, To, Set);
}

Delivery Baseline::modulo(std::size_t Entry, flow::FlowId Id) {
  const flow::ServiceState &Of = Fleet_.director(Entry).tracker().serviceOf(Id);
  std::vector<const flow::UpstreamState *> Ready;
  for (const flow::UpstreamState &Each : Of.upstreams())
    if (Each.InNewestTable_)
      Ready.push_back(&Each);
  return toUpstream(*Ready[Id.Hash_ % Ready.size()], 1);
}

Delivery Baseline::local(std::size_t Entry, flow::FlowId Id) {
  flow::ServiceState &Of = Fleet_.director(Entry).tracker().serviceOf(Id);
  const auto [At, Fresh] =
      Records_[Entry].try_emplace(Id.key(), *Of.defaultOf(Id.Hash_));
  return toUpstream(Of.upstreams()[At->second], 1);
}

Delivery Baseline::home(std::size_t Entry, flow::FlowId Id) {
  const std::uint64_t Seed =
      Fleet_.director(Entry).tracker().serviceOf(Id).seed();
  const membership::View &View = Fleet_.director(Entry).homes().view();
  flow::HomeMap Map(View);
  const membership::Member *Home = Map.home(Id, Seed);
  if (Home == nullptr)
    return dropped(flow::DropReason::NoHome);
  for (std::size_t I = 0; I < Fleet_.size(); ++I) {
    if (Fleet_.nameOf(I) != Home->Name_)
      continue;
    if (!Fleet_.serves(I))
      return {};
    Delivery Out = local(I, Id);
    Out.Entries_ = I == Entry ? 1 : 2;
    return Out;
  }
  return {};
}

std::size_t Baseline::slotOf(std::size_t Entry, flow::FlowId Id) {
  const auto &Table = Fleet_.director(Entry)
                          .tracker()
                          .serviceOf(Id)
                          .generations()
                          .back()
                          .Table_;
  return (Id.Hash_ * Table.slots().size()) >> flow::FlowHashBits;
}

bool Baseline::settled(std::size_t Entry, flow::FlowId Id) {
  if (Fleet_.director(Entry).tracker().serviceOf(Id).generations().size() > 1)
    return false;
  return !Unsettled_.contains({Id.Service_, slotOf(Entry, Id)});
}

void Baseline::refresh() {
  Unsettled_.clear();
  if (Policy_ != FlowPolicy::SettledFastPath)
    return;
  for (std::size_t I = 0; I < Fleet_.size(); ++I) {
    flow::ConnectionTracker &Tracker = Fleet_.director(I).tracker();
    Tracker.table().forEach([&](flow::FlowRecord &Each) {
      if (Tracker.isOverride(Each))
        Unsettled_.insert({Each.id().Service_, slotOf(I, Each.id())});
    });
  }
}

} // namespace medlarmoor::bench
