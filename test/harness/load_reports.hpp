#ifndef MEDLARMOOR_HARNESS_LOAD_REPORTS_HPP
#define MEDLARMOOR_HARNESS_LOAD_REPORTS_HPP

#include <medlarmoor/core/time.hpp>

#include <cstdint>
#include <deque>

namespace medlarmoor::harness {

/// The load of one upstream at one moment.
struct LoadSample {
  TimePoint At_;
  std::uint64_t Running_ = 0;
  std::uint64_t Queued_ = 0;
  std::uint64_t Flows_ = 0;
};

/// Remembers samples so that a report can show an earlier moment.
class LoadReports {
public:
  void add(const LoadSample &Sample) {
    Samples_.push_back(Sample);
    while (Samples_.front().At_ + Kept < Sample.At_)
      Samples_.pop_front();
  }

  /// The newest sample that is not newer than At, else the oldest.
  [[nodiscard]] LoadSample at(TimePoint At) const {
    LoadSample Out = Samples_.empty() ? LoadSample{At} : Samples_.front();
    for (const LoadSample &Each : Samples_) {
      if (Each.At_ > At)
        break;
      Out = Each;
    }
    return Out;
  }

private:
  static constexpr Millis Kept = Seconds(30);

  std::deque<LoadSample> Samples_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_LOAD_REPORTS_HPP
