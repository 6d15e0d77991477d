#include <medlarmoor/core/stop_signal.hpp>

#include <poll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>

namespace medlarmoor {

namespace {

sigset_t stopSet() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGINT);
  sigaddset(&Set, SIGTERM);
  return Set;
}

} // namespace

StopSignal::StopSignal() {
  const sigset_t Set = stopSet();
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
  Descriptor_ = signalfd(-1, &Set, SFD_NONBLOCK | SFD_CLOEXEC);
}

int StopSignal::wait() {
  signalfd_siginfo Info{};
  while (read(Descriptor_, &Info, sizeof(Info)) != sizeof(Info)) {
    pollfd Wait{Descriptor_, POLLIN, 0};
    poll(&Wait, 1, -1);
  }
  return static_cast<int>(Info.ssi_signo);
}

} // namespace medlarmoor
