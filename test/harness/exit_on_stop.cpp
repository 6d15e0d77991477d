#include <harness/exit_on_stop.hpp>

#include <poll.h>
#include <unistd.h>

namespace medlarmoor::harness {

namespace {

constexpr int PollMs = 50;
constexpr int StoppedCode = 130;

} // namespace

ExitOnStop::ExitOnStop(std::function<void()> Cleanup)
    : Cleanup_(std::move(Cleanup)),
      Thread_([this](const std::stop_token &Over) { watch(Over); }) {}

void ExitOnStop::watch(const std::stop_token &Over) {
  while (!Over.stop_requested()) {
    pollfd Wait{Signal_.descriptor(), POLLIN, 0};
    if (poll(&Wait, 1, PollMs) <= 0)
      continue;
    Cleanup_();
    _exit(StoppedCode);
  }
}

} // namespace medlarmoor::harness
