#ifndef MEDLARMOOR_DAEMON_PROGRESS_WATCH_HPP
#define MEDLARMOOR_DAEMON_PROGRESS_WATCH_HPP

#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/telemetry/fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace medlarmoor::daemon {

/// A thread that makes no step for this long is stuck.
inline constexpr Seconds StuckAfter{5};

/// Tells which threads make progress, from the counter that each raises at
/// least once a second.
class ProgressWatch {
public:
  explicit ProgressWatch(Clock Time) : Time_(std::move(Time)) {}

  /// Watches a thread from now on.
  void add(std::string Thread, const telemetry::Counter &Steps);
  /// Looks at all counters; call it at least once a second.
  void sample();
  /// The threads that are stuck.
  [[nodiscard]] std::vector<std::string> stuck() const;

private:
  struct Watched {
    std::string Thread_;
    const telemetry::Counter *Steps_;
    std::uint64_t Last_;
    TimePoint Moved_;
  };

  Clock Time_;
  std::vector<Watched> Threads_;
};

} // namespace medlarmoor::daemon

#endif // MEDLARMOOR_DAEMON_PROGRESS_WATCH_HPP
