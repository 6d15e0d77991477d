#ifndef MEDLARMOOR_BENCH_REQUESTS_FAKE_UPSTREAM_HPP
#define MEDLARMOOR_BENCH_REQUESTS_FAKE_UPSTREAM_HPP

#include <medlarmoor/core/time.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <utility>

namespace medlarmoor::bench {

/// One upstream in simulated time: slots, a queue behind them, and the faults
/// of the experiments.
struct FakeUpstream {
  std::uint32_t Slots_ = 2;
  /// Divides the service time; below 1 is slow.
  double Speed_ = 1.0;
  /// Requests run four times as long until then.
  TimePoint ColdUntil_;
  /// Refuses all requests between these.
  TimePoint ShedFrom_ = TimePoint::max();
  TimePoint ShedUntil_;
  /// Share of requests that end without an answer after a tenth of their time.
  double FailShare_ = 0;
  /// Reports this load whatever it is.
  int Lie_ = -1;

  std::uint32_t Running_ = 0;
  std::deque<std::function<void()>> Queue_;
  std::uint64_t Runs_ = 0;
  double BusySeconds_ = 0;
  /// What it reported, newest last, with the time of the report.
  std::deque<std::pair<TimePoint, std::uint32_t>> Reports_;

  [[nodiscard]] std::uint32_t load() const {
    return Running_ + static_cast<std::uint32_t>(Queue_.size());
  }
  [[nodiscard]] bool sheds(TimePoint Now) const {
    return Now >= ShedFrom_ && Now < ShedUntil_;
  }
};

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_REQUESTS_FAKE_UPSTREAM_HPP
