#include <harness/wait.hpp>

#include <thread>

namespace medlarmoor::harness {

namespace {

constexpr Millis PollPeriod{10};

} // namespace

bool waitUntil(const std::function<bool()> &Condition, Millis Limit) {
  const auto Deadline = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= Deadline)
      return false;
    std::this_thread::sleep_for(PollPeriod);
  }
  return true;
}

} // namespace medlarmoor::harness
