#ifndef MEDLARMOOR_HARNESS_EXIT_ON_STOP_HPP
#define MEDLARMOOR_HARNESS_EXIT_ON_STOP_HPP

#include <medlarmoor/core/stop_signal.hpp>

#include <functional>
#include <thread>

namespace medlarmoor::harness {

/// Ends the whole program on SIGINT or SIGTERM, whatever it waits for: runs
/// Cleanup and exits with code 130. The system then ends the processes that
/// were started. Construct it before any other thread starts.
class ExitOnStop {
public:
  explicit ExitOnStop(std::function<void()> Cleanup);

private:
  void watch(const std::stop_token &Over);

  StopSignal Signal_;
  std::function<void()> Cleanup_;
  std::jthread Thread_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_EXIT_ON_STOP_HPP
