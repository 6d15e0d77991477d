#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/upstream/breaker.hpp>

namespace medlarmoor::upstream {

namespace {

constexpr unsigned LeastSamples = 5;
constexpr double SampleWeight = 0.2;

} // namespace

bool allows(const Breaker &Policy, const Health &Known, unsigned Running,
            TimePoint Now) {
  return std::visit(
      Overloaded{
          [](const NoBreaker &) { return true; },
          [&](const MetricBreaker &Metric) {
            const bool Missing = Known.Samples_ < LeastSamples ||
                                 Now - Known.LastSample_ > Metric.TimeToLive_;
            return Missing || Known.FailureShare_ < Metric.FailureShare_;
          },
          [&](const HalfOpenBreaker &Half) {
            if (Known.FailuresInRow_ < Half.FailuresInRow_)
              return true;
            return Now - Known.LastSample_ > Half.OpenFor_ && Running == 0;
          },
      },
      Policy);
}

void note(Health &Known, bool Failure, TimePoint Now) {
  ++Known.Samples_;
  Known.FailuresInRow_ = Failure ? Known.FailuresInRow_ + 1 : 0;
  Known.FailureShare_ +=
      SampleWeight * ((Failure ? 1.0 : 0.0) - Known.FailureShare_);
  Known.LastSample_ = Now;
}

} // namespace medlarmoor::upstream
