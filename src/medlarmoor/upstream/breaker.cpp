#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/upstream/breaker.hpp>

namespace medlarmoor::upstream {

namespace {

constexpr unsigned MinSamples = 5;
constexpr double SampleWeight = 0.2;

} // namespace

bool allows(const Breaker &Policy, const Health &Observed, unsigned Running,
            TimePoint Now) {
  return std::visit(
      Overloaded{
          [](const NoBreaker &) { return true; },
          [&](const MetricBreaker &Limits) {
            const bool MetricMissing =
                Observed.Samples_ < MinSamples ||
                Now - Observed.LastSample_ > Limits.TimeToLive_;
            return MetricMissing ||
                   Observed.FailureShare_ < Limits.FailureShare_;
          },
          [&](const HalfOpenBreaker &Limits) {
            if (Observed.ConsecutiveFailures_ < Limits.ConsecutiveFailures_)
              return true;
            return Now - Observed.LastSample_ > Limits.OpenTime_ &&
                   Running == 0;
          },
      },
      Policy);
}

void recordSample(Health &Observed, bool Failure, TimePoint Now) {
  ++Observed.Samples_;
  Observed.ConsecutiveFailures_ =
      Failure ? Observed.ConsecutiveFailures_ + 1 : 0;
  Observed.FailureShare_ +=
      SampleWeight * ((Failure ? 1.0 : 0.0) - Observed.FailureShare_);
  Observed.LastSample_ = Now;
}

} // namespace medlarmoor::upstream
