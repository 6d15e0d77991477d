#include <bench/flows/flow_cost.hpp>
#include <bench/record.hpp>

#include <harness/fleet_membership.hpp>
#include <harness/sprayed_load.hpp>

#include <algorithm>

namespace medlarmoor::bench {

namespace {

constexpr int Entries = 5;
constexpr int Services = 72;
constexpr int UpstreamsPerService = 15;
constexpr double Epsilon = 0.1;
constexpr std::size_t FlowsPerEntry = 300'000;
constexpr double OpensPerEntry = 3000;
constexpr double LifeSeconds = 100;
constexpr double PacketSeconds = 40;
constexpr int FillSteps = 100;
constexpr int SettleSeconds = 30;
constexpr int MeasuredSeconds = 30;
/// What the issue allows, and the brief's wall.
constexpr double MostBytes = 4096;
constexpr double WallBytes = 12'288;

/// The most that any entry has sent, and all together.
struct Sent {
  std::vector<std::uint64_t> Each_;

  explicit Sent(const harness::FlowFleet &Fleet) {
    for (std::size_t I = 0; I < Fleet.size(); ++I)
      Each_.push_back(Fleet.sentBy(I).Bytes_);
  }
  [[nodiscard]] double mostSince(const Sent &Before) const {
    std::uint64_t Most = 0;
    for (std::size_t I = 0; I < Each_.size(); ++I)
      Most = std::max(Most, Each_[I] - Before.Each_[I]);
    return static_cast<double>(Most);
  }
};

} // namespace

bool measureControl(std::uint64_t Seed) {
  harness::FlowFleet Fleet({}, Seed);
  harness::FleetMembership Members(Fleet);
  harness::DocumentBuilder Doc;
  for (int I = 0; I < Services; ++I)
    Doc.service("service-" + std::to_string(I), UpstreamsPerService, Epsilon);
  harness::SprayedLoad Load(
      {OpensPerEntry * Entries, LifeSeconds, PacketSeconds}, Seed,
      [&](std::size_t Entry, Endpoint From, Endpoint To, harness::Flags Set) {
        return Fleet.send(Entry, From, To, Set);
      },
      [&] { return Members.sprayed(); });
  Fleet.document(Doc.build());
  Load.document(Doc.environment());
  for (int I = 0; I < Entries; ++I)
    Members.join();
  Members.settle();
  Fleet.run(Seconds(3));
  const auto Go = [&](Nanos Span) {
    for (const TimePoint End = Fleet.now() + Span; Fleet.now() < End;) {
      Fleet.step();
      Load.advance(Fleet.now());
    }
  };
  for (int I = 0; I < FillSteps; ++I) {
    Load.fill(FlowsPerEntry * Entries / FillSteps, Fleet.now());
    Go(Seconds(1));
  }
  Go(Seconds(SettleSeconds));
  const Sent Start(Fleet);
  const std::uint64_t Broken = Load.figures().Broken_;
  double PeakSecond = 0;
  for (int I = 0; I < MeasuredSeconds; ++I) {
    const Sent Before(Fleet);
    Go(Seconds(1));
    PeakSecond = std::max(PeakSecond, Sent(Fleet).mostSince(Before));
  }
  const double Steady = Sent(Fleet).mostSince(Start) / MeasuredSeconds;
  Members.join();
  double PeakOfChange = 0;
  for (int I = 0; I < MeasuredSeconds; ++I) {
    const Sent Before(Fleet);
    Go(Seconds(1));
    PeakOfChange = std::max(PeakOfChange, Sent(Fleet).mostSince(Before));
  }
  double Imbalance = 0;
  for (std::size_t I = 0; I < Services; ++I)
    Imbalance = std::max(Imbalance, Load.imbalance(I));
  std::size_t Backlog = 0;
  std::size_t Held = 0;
  for (std::size_t I = 0; I < Entries; ++I) {
    Backlog = std::max(Backlog, Fleet.director(I).replicator().backlog());
    Held = std::max(Held, Fleet.director(I).tracker().openFlows());
  }
  Record Out{"flows", "control_at_300000_flows", "medlarmoor", Seed};
  Out.Figures_ = {{"bytesPerSecondPerEntry", Steady},
                  {"peakSecondBytes", PeakSecond},
                  {"peakSecondBytesWhileAnEntryJoins", PeakOfChange},
                  {"largestBacklog", Backlog},
                  {"mostFlowsHeldByAnEntry", Held},
                  {"openFlows", Load.open()},
                  {"worstImbalanceOf72Services", Imbalance},
                  {"refused", Load.figures().Refused_},
                  {"broken", Load.figures().Broken_ - Broken}};
  Out.Bound_ = {{"bytesPerSecondPerEntry", MostBytes},
                {"peakSecondBytes", WallBytes},
                {"peakSecondBytesWhileAnEntryJoins", WallBytes},
                {"broken", 0}};
  Out.Held_ = Steady <= MostBytes && PeakSecond <= WallBytes &&
              PeakOfChange <= WallBytes && Load.figures().Broken_ == Broken;
  print(Out);
  return Out.Held_;
}

} // namespace medlarmoor::bench
