#ifndef MEDLARMOOR_TELEMETRY_COUNTER_HPP
#define MEDLARMOOR_TELEMETRY_COUNTER_HPP

#include <atomic>
#include <cstdint>

namespace medlarmoor::telemetry {

/// A count that only grows. Safe to use from all threads.
class Counter {
public:
  void add(std::uint64_t Amount = 1) noexcept {
    Value_.fetch_add(Amount, std::memory_order_relaxed);
  }
  [[nodiscard]] std::uint64_t value() const noexcept {
    return Value_.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::uint64_t> Value_{0};
};

} // namespace medlarmoor::telemetry

#endif // MEDLARMOOR_TELEMETRY_COUNTER_HPP
