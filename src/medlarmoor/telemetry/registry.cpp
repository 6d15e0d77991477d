#include <medlarmoor/telemetry/registry.hpp>

namespace medlarmoor::telemetry {

namespace {

/// Writes all samples of one kind, with one TYPE line a name.
template <typename Map>
void appendSamples(std::string &Out, const Map &Metrics, const char *Kind) {
  std::string Last;
  for (const auto &[Key, Metric] : Metrics) {
    const auto &[Name, Labels] = Key;
    if (Name != Last)
      Out += "# TYPE " + Name + " " + Kind + "\n";
    Last = Name;
    Out += Name;
    if (!Labels.empty())
      Out += "{" + Labels + "}";
    Out += " " + std::to_string(Metric.value()) + "\n";
  }
}

} // namespace

Counter &Registry::counter(const std::string &Name, const std::string &Labels) {
  const std::lock_guard Guard(Lock_);
  return Counters_[{Name, Labels}];
}

Gauge &Registry::gauge(const std::string &Name, const std::string &Labels) {
  const std::lock_guard Guard(Lock_);
  return Gauges_[{Name, Labels}];
}

std::string Registry::text() const {
  const std::lock_guard Guard(Lock_);
  std::string Out;
  appendSamples(Out, Counters_, "counter");
  appendSamples(Out, Gauges_, "gauge");
  return Out;
}

} // namespace medlarmoor::telemetry
