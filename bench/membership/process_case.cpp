#include <bench/membership/process_case.hpp>
#include <bench/record.hpp>

#include <harness/entry_domain.hpp>
#include <harness/wait.hpp>

#include <algorithm>
#include <cstdlib>
#include <numeric>
#include <thread>

namespace medlarmoor::bench {

namespace {

using harness::EntryDomain;

constexpr double BytesBound = 12'000;
constexpr double ProcessorBound = 0.016;
constexpr double MemoryBound = 64.0 * 1024 * 1024;
constexpr std::uint32_t MeasuredSeconds = 10;
constexpr Millis AgreeLimit = Seconds(30);

/// What one process says of itself.
struct Sample {
  double Bytes_ = 0;
  double ProcessorSeconds_ = 0;
  double Memory_ = 0;
};

Sample sampleOf(const EntryDomain &Domain, int I) {
  const auto Metric = [&](const char *Name) {
    return Domain.metric(I, Name).value_or(0);
  };
  return {Metric("medlarmoor_control_bytes_sent_total") +
              Metric("medlarmoor_control_bytes_received_total"),
          Metric("medlarmoor_process_cpu_microseconds") / 1e6,
          Metric("medlarmoor_process_resident_bytes")};
}

std::vector<Sample> sampleAll(const EntryDomain &Domain, int Count) {
  std::vector<Sample> Out;
  Out.reserve(static_cast<std::size_t>(Count));
  for (int I = 1; I <= Count; ++I)
    Out.push_back(sampleOf(Domain, I));
  return Out;
}

} // namespace

bool runProcesses(int Count, const Options &Asked) {
  EntryDomain Domain;
  std::vector<harness::Process> Entries;
  Entries.reserve(static_cast<std::size_t>(Count));
  std::vector<int> Who(static_cast<std::size_t>(Count));
  std::iota(Who.begin(), Who.end(), 1);
  for (const int I : Who)
    Domain.list(I);
  for (const int I : Who)
    Entries.push_back(Domain.start(I));
  Record Out{"membership", "processes-" + std::to_string(Count), "medlarmoor",
             Asked.Seed_};
  const bool Agreed =
      harness::waitUntil([&] { return Domain.agree(Who); }, AgreeLimit);
  const std::uint32_t Period =
      Asked.Seconds_ == 0 ? MeasuredSeconds : Asked.Seconds_;
  const std::vector<Sample> Before = sampleAll(Domain, Count);
  std::this_thread::sleep_for(Seconds(Period));
  const std::vector<Sample> After = sampleAll(Domain, Count);
  Sample Most;
  for (std::size_t I = 0; I < After.size(); ++I) {
    Most.Bytes_ =
        std::max(Most.Bytes_, (After[I].Bytes_ - Before[I].Bytes_) / Period);
    Most.ProcessorSeconds_ = std::max(
        Most.ProcessorSeconds_,
        (After[I].ProcessorSeconds_ - Before[I].ProcessorSeconds_) / Period);
    Most.Memory_ = std::max(Most.Memory_, After[I].Memory_);
  }
  Out.Figures_ = {{"members", Count},
                  {"bytes_per_s_max", Most.Bytes_},
                  {"processor_share_max", Most.ProcessorSeconds_},
                  {"memory_bytes", Most.Memory_}};
  Out.Bound_ = {{"bytes_per_s_max", BytesBound},
                {"processor_share_max", ProcessorBound},
                {"memory_bytes", MemoryBound}};
  Out.Held_ = Agreed && Most.Bytes_ <= BytesBound &&
              Most.ProcessorSeconds_ <= ProcessorBound &&
              Most.Memory_ <= MemoryBound;
  print(Out);
  return Out.Held_;
}

} // namespace medlarmoor::bench
