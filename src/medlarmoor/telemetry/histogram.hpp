#ifndef MEDLARMOOR_TELEMETRY_HISTOGRAM_HPP
#define MEDLARMOOR_TELEMETRY_HISTOGRAM_HPP

#include <medlarmoor/core/time.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace medlarmoor::telemetry {

/// How often durations fell into each of a fixed row of buckets, from 100
/// microseconds to 100 seconds, five for each factor of ten. Safe to use from
/// all threads.
class Histogram {
public:
  /// One bucket of the Prometheus form.
  struct Bucket {
    /// In seconds; infinite for the last.
    double UpTo_ = 0;
    /// Durations up to that one, the buckets before included.
    std::uint64_t Count_ = 0;
  };

  Histogram();
  ~Histogram();
  Histogram(const Histogram &) = delete;
  Histogram &operator=(const Histogram &) = delete;

  void record(Nanos Duration);
  /// All buckets in rising order; the last one counts everything.
  [[nodiscard]] std::vector<Bucket> buckets() const;
  /// Sum of all durations in seconds.
  [[nodiscard]] double sum() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace medlarmoor::telemetry

#endif // MEDLARMOOR_TELEMETRY_HISTOGRAM_HPP
