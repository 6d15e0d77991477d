#include <bench/experiments.hpp>
#include <bench/membership/process_case.hpp>
#include <bench/record.hpp>

#include <harness/mesh_network.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <unistd.h>

namespace medlarmoor::bench {

namespace {

using harness::MeshNetwork;

// What one daemon may spend on control.
constexpr double BytesBound = 12'000;
constexpr double ProcessorBound = 0.016;
constexpr double MemoryBound = 64.0 * 1024 * 1024;

constexpr std::array<std::size_t, 5> Sizes{4, 16, 64, 256, 422};
constexpr std::array<int, 3> ProcessSizes{4, 16, 40};
constexpr Nanos SteadyPeriod = Seconds(30);
/// The news of a start have died down by then.
constexpr Nanos SettlePeriod = Seconds(60);
/// 10,000 restarts a day over 9 failure domains: one in so many seconds.
constexpr Nanos RestartPeriod = Seconds(78);
constexpr Nanos EventLimit = Seconds(30);

/// Sums over the members of one network at one moment.
struct Totals {
  std::vector<MeshNetwork::Usage> Each_;
  TimePoint When_;

  explicit Totals(MeshNetwork &Net) : When_(Net.clock().now()) {
    for (std::size_t I = 0; I < Net.size(); ++I)
      Each_.push_back(Net.usage(I));
  }
};

/// The greatest and the mean use of one member a second between two moments.
nlohmann::json usageBetween(const Totals &Before, const Totals &After) {
  const double Period =
      std::chrono::duration<double>(After.When_ - Before.When_).count();
  double MaxBytes = 0;
  double SumBytes = 0;
  double MaxShare = 0;
  double SumShare = 0;
  for (std::size_t I = 0; I < Before.Each_.size(); ++I) {
    const auto &A = Before.Each_[I];
    const auto &B = After.Each_[I];
    const double Bytes = static_cast<double>(B.BytesIn_ + B.BytesOut_ -
                                             A.BytesIn_ - A.BytesOut_) /
                         Period;
    const double Share =
        std::chrono::duration<double>(B.Processor_ - A.Processor_).count() /
        Period;
    MaxBytes = std::max(MaxBytes, Bytes);
    SumBytes += Bytes;
    MaxShare = std::max(MaxShare, Share);
    SumShare += Share;
  }
  const auto Count = static_cast<double>(Before.Each_.size());
  return {{"bytes_per_s_mean", SumBytes / Count},
          {"bytes_per_s_max", MaxBytes},
          {"processor_share_mean", SumShare / Count},
          {"processor_share_max", MaxShare}};
}

double residentBytes() {
  std::FILE *File = std::fopen("/proc/self/statm", "re");
  long Total = 0;
  long Resident = 0;
  if (File && std::fscanf(File, "%ld %ld", &Total, &Resident) !=
                  2) // NOLINT(cert-err34-c)
    Resident = 0;
  if (File)
    std::fclose(File);
  return static_cast<double>(Resident * sysconf(_SC_PAGESIZE));
}

double secondsSince(const MeshNetwork &Net, TimePoint Start) {
  return std::chrono::duration<double>(
             const_cast<MeshNetwork &>(Net).clock().now() - Start)
      .count();
}

/// Runs Condition to its end and returns the seconds; negative when it did not
/// hold in time.
double timeUntil(MeshNetwork &Net, const std::function<bool()> &Condition) {
  const TimePoint Start = Net.clock().now();
  return Net.runUntil(Condition, EventLimit) ? secondsSince(Net, Start) : -1;
}

/// The mean bytes a second of one member, sampled once a second.
class ByteSeries {
public:
  explicit ByteSeries(MeshNetwork &Net)
      : Net_(Net), Start_(Net.clock().now()), Last_(Start_), Bytes_(total()) {}

  void sample() {
    const TimePoint Now = Net_.clock().now();
    if (Now - Last_ < Seconds(1))
      return;
    const double Next = total();
    const double Period = std::chrono::duration<double>(Now - Last_).count();
    Points_.push_back({secondsSince(Net_, Start_), (Next - Bytes_) / Period});
    Last_ = Now;
    Bytes_ = Next;
  }
  [[nodiscard]] const nlohmann::json &points() const { return Points_; }

private:
  [[nodiscard]] double total() const {
    double Sum = 0;
    for (std::size_t I = 0; I < Net_.size(); ++I)
      Sum +=
          static_cast<double>(Net_.usage(I).BytesIn_ + Net_.usage(I).BytesOut_);
    return Sum / static_cast<double>(Net_.size());
  }

  MeshNetwork &Net_;
  TimePoint Start_;
  TimePoint Last_;
  double Bytes_;
  nlohmann::json Points_ = nlohmann::json::array();
};

bool withinBounds(const nlohmann::json &Figures) {
  return Figures["bytes_per_s_max"] <= BytesBound &&
         Figures["bytes_per_s_max_with_restart"] <= BytesBound &&
         Figures["processor_share_max"] <= ProcessorBound &&
         Figures["memory_bytes"] <= MemoryBound;
}

/// One domain of that size: start, steady state, then a kill, a new run in its
/// place and a planned replacement.
bool runSize(std::size_t Members, std::uint64_t Seed) {
  const double MemoryBefore = residentBytes();
  MeshNetwork Net(Seed);
  for (std::size_t I = 0; I < Members; ++I)
    Net.add("seeb-" + std::to_string(1000 + I));
  Record Out{"membership", "mesh-" + std::to_string(Members), "medlarmoor",
             Seed};
  ByteSeries Bytes(Net);
  const auto Full = [&] {
    Bytes.sample();
    return Net.converged(Members);
  };
  const auto OneLess = [&] {
    Bytes.sample();
    return Net.converged(Members - 1);
  };
  const double Started = timeUntil(Net, Full);
  Net.run(SettlePeriod);
  const Totals Before(Net);
  Net.run(SteadyPeriod);
  Out.Figures_ = usageBetween(Before, Totals(Net));
  Out.Figures_["members"] = Members;
  Out.Figures_["memory_bytes"] =
      (residentBytes() - MemoryBefore) / static_cast<double>(Members);
  Out.Figures_["start_s"] = Started;
  const Totals Calm(Net);
  Net.kill(Members / 2);
  Out.Figures_["kill_seen_s"] = timeUntil(Net, OneLess);
  Net.replace(Members / 2);
  Out.Figures_["join_seen_s"] = timeUntil(Net, Full);
  Net.perform(0, Net.mesh(0).leave());
  Net.run(Millis(500));
  Net.perform(0, Net.mesh(0).completeLeave());
  Net.kill(0);
  Out.Figures_["farewell_seen_s"] = timeUntil(Net, OneLess);
  const TimePoint End = Calm.When_ + RestartPeriod;
  (void)Net.runUntil(
      [&] {
        Bytes.sample();
        return Net.clock().now() >= End;
      },
      RestartPeriod);
  Out.Figures_["bytes_per_s"] = Bytes.points();
  Out.Figures_["bytes_per_s_max_with_restart"] =
      usageBetween(Calm, Totals(Net))["bytes_per_s_max"];
  Out.Bound_ = {{"bytes_per_s_max", BytesBound},
                {"bytes_per_s_max_with_restart", BytesBound},
                {"processor_share_max", ProcessorBound},
                {"memory_bytes", MemoryBound}};
  Out.Held_ = withinBounds(Out.Figures_) && Started >= 0 &&
              Out.Figures_["kill_seen_s"] >= 0 &&
              Out.Figures_["join_seen_s"] >= 0 &&
              Out.Figures_["farewell_seen_s"] >= 0;
  print(Out);
  return Out.Held_;
}

bool asked(const Options &Asked, const std::string &Case) {
  return Asked.Case_.empty() || Asked.Case_ == Case;
}

} // namespace

int runMembership(const Options &Asked) {
  bool Held = true;
  for (const std::size_t Members : Sizes)
    if (asked(Asked, "mesh-" + std::to_string(Members)))
      Held = runSize(Members, Asked.Seed_) && Held;
  for (const int Count : ProcessSizes)
    if (asked(Asked, "processes-" + std::to_string(Count)))
      Held = runProcesses(Count, Asked) && Held;
  return Held ? 0 : 1;
}

} // namespace medlarmoor::bench
