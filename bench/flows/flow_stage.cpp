#include <bench/flows/flow_stage.hpp>

#include <algorithm>

namespace medlarmoor::bench {

namespace {

constexpr std::size_t Entries = 5;
constexpr int LargeUpstreams = 15;
constexpr int SmallUpstreams = 4;
constexpr double SmallEpsilon = 0.25;
/// Flows that stand when a case begins: 70% of what the upstreams take.
constexpr std::size_t StandingFlows = 26'000;
constexpr double LifeSeconds = 100;

harness::LoadShape shape() {
  return {StandingFlows / LifeSeconds, LifeSeconds, 5};
}

} // namespace

FlowStage::FlowStage(FlowPolicy Policy, std::uint64_t Seed, double Epsilon)
    : Policy_(Policy), Random_(mix(Seed, 77)), Fleet_({}, Seed),
      Members_(Fleet_), Baseline_(std::make_unique<Baseline>(Policy, Fleet_)),
      Load_(
          shape(), Seed,
          [this](std::size_t Entry, Endpoint From, Endpoint To,
                 harness::Flags Set) {
            return Policy_ == FlowPolicy::Medlarmoor
                       ? Fleet_.send(Entry, From, To, Set)
                       : Baseline_->send(Entry, From, To, Set);
          },
          [this] { return Members_.sprayed(); }) {
  Doc_.service("large", LargeUpstreams, Epsilon)
      .service("small", SmallUpstreams, SmallEpsilon);
  distribute();
  for (std::size_t I = 0; I < Entries; ++I)
    Members_.join();
  Members_.settle();
  Fleet_.run(Seconds(3));
  constexpr int FillSteps = 20;
  for (int I = 0; I < FillSteps; ++I) {
    Load_.fill(StandingFlows / FillSteps, Fleet_.now());
    run(Seconds(1));
  }
  run(Seconds(5));
  (void)takeImbalance();
}

void FlowStage::distribute(Nanos Apart) {
  const config::ActiveConfigPtr Next = Doc_.build();
  Load_.document(Next->Environment_);
  for (std::size_t I = 0; I < Fleet_.size() && Apart > Nanos(0); ++I)
    Fleet_.schedule(Nanos(static_cast<std::int64_t>(Random_() % Apart.count())),
                    [this, I, Next] { Fleet_.document(I, Next); });
  if (Apart == Nanos(0))
    Fleet_.document(Next);
  else
    Fleet_.schedule(Apart, [this, Next] { Fleet_.document(Next); });
}

void FlowStage::drainFirst(Nanos Apart) {
  config::Upstream &First = Doc_.at(0).Upstreams_.front();
  First.Drain_ = true;
  distribute(Apart);
  Fleet_.schedule(Seconds(3),
                  [this, To = First.Packets_] { Load_.closeTo(To); });
}

void FlowStage::replace(std::size_t Entry) {
  Members_.join();
  Fleet_.schedule(Seconds(4), [this, Entry] { Members_.leave(Entry); });
}

void FlowStage::run(Nanos Span) {
  for (const TimePoint End = Fleet_.now() + Span; Fleet_.now() < End;) {
    Fleet_.step();
    Load_.advance(Fleet_.now());
    if (Fleet_.now() - MeasuredAt_ < Seconds(1))
      continue;
    MeasuredAt_ = Fleet_.now();
    Imbalance_ = std::max(Imbalance_, Load_.imbalance(0));
    Baseline_->refresh();
  }
}

double FlowStage::takeImbalance() { return std::exchange(Imbalance_, 1.0); }

std::uint64_t FlowStage::controlBytes() const {
  std::uint64_t Sum = 0;
  for (std::size_t I = 0; I < Fleet_.size(); ++I)
    Sum += Fleet_.sentBy(I).Bytes_;
  return Sum;
}

} // namespace medlarmoor::bench
