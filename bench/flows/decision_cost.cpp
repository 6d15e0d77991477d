#include <bench/flows/flow_cost.hpp>
#include <bench/record.hpp>

#include <harness/flow_fleet.hpp>

#include <medlarmoor/net/packet_batch.hpp>

#include <boost/unordered/unordered_flat_map.hpp>

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>

namespace medlarmoor::bench {

namespace {

using WallClock = std::chrono::steady_clock;

constexpr std::size_t Flows = 500'000;
constexpr int Services = 18;
constexpr int UpstreamsPerService = 15;
constexpr int Rounds = 5;
constexpr std::size_t Decisions = 31'250 * net::BatchPackets;
constexpr double MostNanos = 150;
constexpr double MostMegabytes = 64;
constexpr double MostRecordBytes = 32;

/// Resident memory of this process in bytes.
std::size_t residentBytes() {
  std::ifstream Statm("/proc/self/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  Statm >> Total >> Resident;
  return Resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Packets of flows by their numbers, a batch at a time, in memory that is used
/// again like that of a receive buffer.
class Packets {
public:
  explicit Packets(const config::Environment &Document) {
    for (const config::Service &Each : Document.Services_)
      Addresses_.push_back(Each.Addresses_.front());
  }
  /// Writes the packet of a flow to a place of the batch.
  void write(std::size_t Place, std::size_t Flow, harness::Flags Set) {
    const Endpoint From(
        Ipv4(0x0A000000U +
             static_cast<std::uint32_t>(Flow / Services % 65'536U)),
        static_cast<std::uint16_t>(1024U + Flow / Services / 65'536U));
    const auto Made =
        harness::buildPacket(From, Addresses_[Flow % Services], Set);
    std::copy(Made.begin(), Made.end(), Batch_[Place].begin());
  }
  [[nodiscard]] std::span<const std::byte> at(std::size_t Place) const {
    return Batch_[Place];
  }

private:
  std::vector<Endpoint> Addresses_;
  std::array<std::array<std::byte, 40>, net::BatchPackets> Batch_{};
};

double nanosSince(WallClock::time_point Start, std::size_t Count) {
  const std::chrono::duration<double, std::nano> Passed =
      WallClock::now() - Start;
  return Passed.count() / static_cast<double>(Count);
}

/// Looks up random flows in a container of the library's, for comparison.
double flatMapNanos(Random Generator) {
  boost::unordered_flat_map<std::uint64_t,
                            std::pair<std::uint64_t, std::uint64_t>>
      Map;
  Map.reserve(Flows);
  for (std::size_t I = 0; I < Flows; ++I)
    Map[mix(I, 1) & flow::FlowHashMask] = {I, I};
  std::uint64_t Sum = 0;
  const auto Start = WallClock::now();
  for (std::size_t I = 0; I < Decisions; ++I)
    Sum += Map.find(mix(Generator() % Flows, 1) & flow::FlowHashMask)
               ->second.first;
  const double Out = nanosSince(Start, Decisions);
  return Sum == 0 ? 0 : Out;
}

double ownTableNanos(Random Generator) {
  flow::FlowTable Table(Flows);
  for (std::size_t I = 0; I < Flows; ++I)
    if (flow::FlowRecord *Each =
            Table.insert({0, mix(I, 1) & flow::FlowHashMask}))
      Each->ConfigVersion_ = static_cast<std::uint32_t>(I);
  std::uint64_t Sum = 0;
  const auto Start = WallClock::now();
  for (std::size_t I = 0; I < Decisions; ++I)
    if (const auto *Each =
            Table.find({0, mix(Generator() % Flows, 1) & flow::FlowHashMask}))
      Sum += Each->ConfigVersion_;
  const double Out = nanosSince(Start, Decisions);
  return Sum == 0 ? 0 : Out;
}

/// Decides for the batch as the flow thread does; how many packets are
/// forwarded to an upstream.
std::size_t decideBatch(flow::Director &Decide, const Packets &Made) {
  std::array<flow::PreparedPacket, net::BatchPackets> Batch;
  for (std::size_t I = 0; I < net::BatchPackets; ++I)
    Batch[I] = Decide.prepare(Made.at(I));
  std::size_t Out = 0;
  for (const flow::PreparedPacket &Each : Batch)
    Out +=
        std::holds_alternative<flow::ToUpstream>(Decide.decide(Each)) ? 1 : 0;
  return Out;
}

double median(std::vector<double> Values) {
  std::sort(Values.begin(), Values.end());
  return Values[Values.size() / 2];
}

} // namespace

bool measureDecision(std::uint64_t Seed) {
  const std::size_t Before = residentBytes();
  harness::FlowFleet Fleet({}, Seed);
  harness::DocumentBuilder Doc;
  // Room for all flows: 18 services of 15 upstreams of 2,000 connections.
  for (int I = 0; I < Services; ++I)
    Doc.service("service-" + std::to_string(I), UpstreamsPerService, 0.25);
  Fleet.document(Doc.build());
  Fleet.add();
  Fleet.showAll();
  Fleet.run(Seconds(2));
  flow::Director &Decide = Fleet.director(0);
  Packets Made(Doc.environment());
  for (std::size_t I = 0; I < Flows; ++I) {
    for (const harness::Flags Set : {harness::Syn, harness::Ack}) {
      Made.write(0, I, Set);
      (void)Decide.decide(Decide.prepare(Made.at(0)));
    }
  }
  const std::size_t After = residentBytes();
  Random Generator(Seed);
  std::size_t Forwarded = 0;
  std::vector<double> Nanos;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::chrono::duration<double, std::nano> Spent(0);
    for (std::size_t I = 0; I < Decisions; I += net::BatchPackets) {
      for (std::size_t At = 0; At < net::BatchPackets; ++At)
        Made.write(At, Generator() % Flows, harness::Ack);
      const auto Start = WallClock::now();
      Forwarded += decideBatch(Decide, Made);
      Spent += WallClock::now() - Start;
    }
    Nanos.push_back(Spent.count() / static_cast<double>(Decisions));
  }
  const double Megabytes =
      static_cast<double>(After - Before) / (1024.0 * 1024.0);
  const bool All = Forwarded == Decisions * Rounds;
  Record Out{"flows", "decision_at_500000_flows", "medlarmoor", Seed};
  Out.Figures_ = {
      {"nanosPerDecision", median(Nanos)},
      {"flows", Decide.tracker().openFlows()},
      {"residentMegabytes", Megabytes},
      {"tableMegabytes", static_cast<double>(Decide.tracker().table().bytes()) /
                             (1024.0 * 1024.0)},
      {"recordBytes", sizeof(flow::FlowRecord)},
      {"allForwarded", All},
      {"ownTableLookupNanos", ownTableNanos(Generator)},
      {"unorderedFlatMapLookupNanos", flatMapNanos(Generator)}};
  Out.Bound_ = {{"nanosPerDecision", MostNanos},
                {"residentMegabytes", MostMegabytes},
                {"recordBytes", MostRecordBytes},
                {"flows", Flows}};
  Out.Held_ = median(Nanos) < MostNanos && Megabytes <= MostMegabytes &&
              sizeof(flow::FlowRecord) <= MostRecordBytes && All &&
              Decide.tracker().openFlows() >= Flows;
  print(Out);
  return Out.Held_;
}

} // namespace medlarmoor::bench
