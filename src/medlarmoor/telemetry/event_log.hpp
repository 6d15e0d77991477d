#ifndef MEDLARMOOR_TELEMETRY_EVENT_LOG_HPP
#define MEDLARMOOR_TELEMETRY_EVENT_LOG_HPP

#include <medlarmoor/telemetry/field.hpp>

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace medlarmoor::telemetry {

/// Writes one line of key=value pairs for each event to standard output, and
/// never waits for its reader. Safe to use from all threads.
class EventLog {
public:
  /// Component is written with each event. Level is one of ERROR, WARN, INFO
  /// and DEBUG; events below it are dropped.
  explicit EventLog(std::string Component, std::string_view Level = "INFO");
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  /// Changes the level below which events are dropped.
  void setLevel(std::string_view Level);
  /// From now on lines are written in batches and when flush() is called.
  /// Holds for all logs of the process.
  static void batch();
  /// Writes what waits. Holds for all logs of the process.
  static void flush();

  void error(std::string_view Event, std::initializer_list<Field> Fields = {});
  void warn(std::string_view Event, std::initializer_list<Field> Fields = {});
  void info(std::string_view Event, std::initializer_list<Field> Fields = {});
  void debug(std::string_view Event, std::initializer_list<Field> Fields = {});

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace medlarmoor::telemetry

#endif // MEDLARMOOR_TELEMETRY_EVENT_LOG_HPP
