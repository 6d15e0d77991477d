#ifndef MEDLARMOOR_TELEMETRY_REGISTRY_HPP
#define MEDLARMOOR_TELEMETRY_REGISTRY_HPP

#include <medlarmoor/telemetry/counter.hpp>
#include <medlarmoor/telemetry/gauge.hpp>
#include <medlarmoor/telemetry/histogram.hpp>

#include <map>
#include <mutex>
#include <string>

namespace medlarmoor::telemetry {

/// The metrics of one process by name. Looking a metric up takes a lock, so a
/// thread keeps the reference; the reference stays valid as long as the
/// registry does.
class Registry {
public:
  /// The counter of that name, made when it is first asked for. Labels has the
  /// Prometheus form without braces, for example `reason="full"`.
  [[nodiscard]] Counter &counter(const std::string &Name,
                                 const std::string &Labels = {});
  /// The gauge of that name, made when it is first asked for.
  [[nodiscard]] Gauge &gauge(const std::string &Name,
                             const std::string &Labels = {});
  /// The histogram of durations of that name, made when it is first asked for.
  [[nodiscard]] Histogram &histogram(const std::string &Name,
                                     const std::string &Labels = {});
  /// All metrics in the Prometheus text format, sorted by name.
  [[nodiscard]] std::string text() const;

private:
  using Key = std::pair<std::string, std::string>;

  mutable std::mutex Lock_;
  std::map<Key, Counter> Counters_;
  std::map<Key, Gauge> Gauges_;
  std::map<Key, Histogram> Histograms_;
};

} // namespace medlarmoor::telemetry

#endif // MEDLARMOOR_TELEMETRY_REGISTRY_HPP
