#include <bench/world/sampler.hpp>

#include <harness/json_http.hpp>

#include <thread>

namespace medlarmoor::bench {

namespace {

constexpr Millis SamplePeriod{250};
constexpr Millis AskTimeout{500};

} // namespace

void Sampler::sampleUntil(TimePoint Until,
                          const std::function<void()> &Between) {
  while (std::chrono::steady_clock::now() < Until) {
    const TimePoint Next = std::chrono::steady_clock::now() + SamplePeriod;
    sampleFlows();
    sampleVersions();
    if (Between)
      Between();
    std::this_thread::sleep_until(std::min(Next, Until));
  }
}

void Sampler::sampleFlows() {
  std::vector<std::uint64_t> Open;
  for (const config::Upstream &Each :
       World_.document().Services_.front().Upstreams_) {
    if (Each.Drain_)
      continue;
    const auto Where = World_.upstreamHarness(Each.Name_.value());
    const auto Counters =
        harness::callJson(*Where, "GET", "/counters", nullptr, AskTimeout);
    if (Counters)
      Open.push_back(Counters->value("flows_open", std::uint64_t{0}));
  }
  Imbalance_.add(Open);
}

void Sampler::sampleVersions() {
  for (const std::string &Name : World_.entryNames()) {
    const std::uint64_t Seen = World_.version(Name);
    if (Seen == 0)
      continue;
    std::uint64_t &Before = Versions_[Name];
    Reverts_ += Seen < Before ? 1 : 0;
    Before = Seen;
  }
}

} // namespace medlarmoor::bench
