#ifndef MEDLARMOOR_TELEMETRY_BOUNDED_APPENDER_HPP
#define MEDLARMOOR_TELEMETRY_BOUNDED_APPENDER_HPP

#include <log4cplus/appender.h>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace medlarmoor::telemetry {

/// Writes log lines to a descriptor without ever waiting for its reader. Lines
/// are kept until it takes them; when too much is kept, new lines are dropped
/// and counted, and the count is written as soon as there is room.
class BoundedAppender : public log4cplus::Appender {
public:
  /// Lines gather until BatchBytes wait or flush() is called; with 0 each is
  /// written at once.
  BoundedAppender(int Descriptor, std::size_t BatchBytes);
  ~BoundedAppender() override;

  void close() override;
  /// Writes what the descriptor takes without waiting. Safe to use from all
  /// threads.
  void flush();

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override;

private:
  void writeOut();

  std::mutex Lock_;
  int Descriptor_;
  std::size_t BatchBytes_;
  std::string Pending_;
  std::uint64_t Dropped_ = 0;
};

} // namespace medlarmoor::telemetry

#endif // MEDLARMOOR_TELEMETRY_BOUNDED_APPENDER_HPP
