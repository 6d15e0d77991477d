#ifndef MEDLARMOOR_CORE_STOP_SIGNAL_HPP
#define MEDLARMOOR_CORE_STOP_SIGNAL_HPP

namespace medlarmoor {

/// Blocks SIGINT and SIGTERM for the whole process, so that one thread can
/// wait for them. Construct it before any thread starts.
class StopSignal {
public:
  StopSignal();

  /// Waits until SIGINT or SIGTERM arrives and returns its number.
  int wait();

  /// Readable once a stop signal has arrived; for epoll or Asio.
  [[nodiscard]] int descriptor() const noexcept { return Descriptor_; }

private:
  int Descriptor_;
};

} // namespace medlarmoor

#endif // MEDLARMOOR_CORE_STOP_SIGNAL_HPP
