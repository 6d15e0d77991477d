#ifndef MEDLARMOOR_TELEMETRY_GAUGE_HPP
#define MEDLARMOOR_TELEMETRY_GAUGE_HPP

#include <atomic>
#include <cstdint>

namespace medlarmoor::telemetry {

/// A value that goes up and down. Safe to use from all threads.
class Gauge {
public:
  void set(std::int64_t Value) noexcept {
    Value_.store(Value, std::memory_order_relaxed);
  }
  [[nodiscard]] std::int64_t value() const noexcept {
    return Value_.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::int64_t> Value_{0};
};

} // namespace medlarmoor::telemetry

#endif // MEDLARMOOR_TELEMETRY_GAUGE_HPP
