#include <medlarmoor/telemetry/registry.hpp>

#include <array>
#include <cmath>
#include <cstdio>

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

std::string number(double Value) {
  if (std::isinf(Value))
    return "+Inf";
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.6g", Value);
  return Text.data();
}

/// Writes the buckets, the sum and the count of one histogram.
void appendHistogram(std::string &Out, const std::string &Name,
                     const std::string &Labels, const Histogram &Each) {
  const std::string Start =
      Name + "_bucket{" + (Labels.empty() ? "" : Labels + ",") + "le=\"";
  const std::string Around = Labels.empty() ? "" : "{" + Labels + "}";
  std::uint64_t Count = 0;
  for (const Histogram::Bucket &Bucket : Each.buckets()) {
    Count = Bucket.Count_;
    Out += Start;
    Out += number(Bucket.UpTo_);
    Out += "\"} " + std::to_string(Count) + "\n";
  }
  Out += Name;
  Out += "_sum" + Around + " " + number(Each.sum()) + "\n";
  Out += Name;
  Out += "_count" + Around + " " + std::to_string(Count) + "\n";
}

void appendHistograms(
    std::string &Out,
    const std::map<std::pair<std::string, std::string>, Histogram> &All) {
  std::string Last;
  for (const auto &[Key, Each] : All) {
    const auto &[Name, Labels] = Key;
    if (Name != Last)
      Out += "# TYPE " + Name + " histogram\n";
    Last = Name;
    appendHistogram(Out, Name, Labels, Each);
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

Histogram &Registry::histogram(const std::string &Name,
                               const std::string &Labels) {
  const std::lock_guard Guard(Lock_);
  return Histograms_[{Name, Labels}];
}

std::string Registry::text() const {
  const std::lock_guard Guard(Lock_);
  std::string Out;
  appendSamples(Out, Counters_, "counter");
  appendSamples(Out, Gauges_, "gauge");
  appendHistograms(Out, Histograms_);
  return Out;
}

} // namespace medlarmoor::telemetry
