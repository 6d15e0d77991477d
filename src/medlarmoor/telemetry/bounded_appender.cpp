#include <medlarmoor/telemetry/bounded_appender.hpp>

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <sstream>

namespace medlarmoor::telemetry {

namespace {

/// What may wait for a slow reader.
constexpr std::size_t MostPendingBytes = 256U * 1024U;
/// A pipe that is writable takes this much without blocking (PIPE_BUF).
constexpr std::size_t ChunkBytes = 4096;

bool writable(int Descriptor) {
  pollfd Each{Descriptor, POLLOUT, 0};
  return poll(&Each, 1, 0) == 1 && (Each.revents & POLLOUT) != 0;
}

} // namespace

BoundedAppender::BoundedAppender(int Descriptor, std::size_t BatchBytes)
    : Descriptor_(Descriptor), BatchBytes_(BatchBytes) {}

BoundedAppender::~BoundedAppender() { destructorImpl(); }

void BoundedAppender::close() {
  flush();
  closed = true;
}

void BoundedAppender::flush() {
  const std::lock_guard Guard(Lock_);
  writeOut();
}

void BoundedAppender::append(
    const log4cplus::spi::InternalLoggingEvent &Event) {
  const std::lock_guard Guard(Lock_);
  if (Pending_.size() >= MostPendingBytes) {
    ++Dropped_;
    writeOut();
    return;
  }
  std::ostringstream Line;
  layout->formatAndAppend(Line, Event);
  Pending_ += Line.str();
  if (Pending_.size() >= BatchBytes_)
    writeOut();
}

void BoundedAppender::writeOut() {
  while (!Pending_.empty() && writable(Descriptor_)) {
    const ssize_t Written = write(Descriptor_, Pending_.data(),
                                  std::min(Pending_.size(), ChunkBytes));
    if (Written <= 0)
      return;
    Pending_.erase(0, static_cast<std::size_t>(Written));
  }
  if (Dropped_ > 0 && Pending_.empty()) {
    Pending_ = "event=log_lines_dropped count=" + std::to_string(Dropped_) +
               " reason=\"reader too slow\"\n";
    Dropped_ = 0;
  }
}

} // namespace medlarmoor::telemetry
