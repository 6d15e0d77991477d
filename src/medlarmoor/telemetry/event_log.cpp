#include <medlarmoor/telemetry/bounded_appender.hpp>
#include <medlarmoor/telemetry/event_log.hpp>

#include <log4cplus/helpers/pointer.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <unistd.h>

namespace medlarmoor::telemetry {

namespace {

constexpr const char *LinePattern =
    "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p component=%c %m%n";

/// Values that hold spaces, quotes or equals signs are quoted.
void appendValue(std::string &Line, std::string_view Value) {
  if (!Value.empty() &&
      Value.find_first_of(" \"=\n") == std::string_view::npos) {
    Line += Value;
    return;
  }
  Line += '"';
  for (const char C : Value) {
    if (C == '"' || C == '\\')
      Line += '\\';
    if (C == '\n')
      Line += "\\n";
    else
      Line += C;
  }
  Line += '"';
}

std::string format(std::string_view Event,
                   std::initializer_list<Field> Fields) {
  std::string Line = "event=";
  Line += Event;
  for (const Field &Each : Fields) {
    Line += ' ';
    Line += Each.Key_;
    Line += '=';
    appendValue(Line, Each.Value_);
  }
  return Line;
}

/// Lines that gather before a write, when writing in batches.
constexpr std::size_t BatchBytes = 4096;

/// The process's way to standard output. It stays until the process ends.
log4cplus::helpers::SharedObjectPtr<BoundedAppender> &output() {
  static log4cplus::helpers::SharedObjectPtr<BoundedAppender> Each;
  return Each;
}

void attach(std::size_t Batch) {
  log4cplus::Logger Root = log4cplus::Logger::getRoot();
  Root.removeAllAppenders();
  output() = new BoundedAppender(STDOUT_FILENO, Batch);
  output()->setLayout(std::make_unique<log4cplus::PatternLayout>(LinePattern));
  Root.addAppender(log4cplus::SharedAppenderPtr(output().get()));
}

/// Log4cplus is started once a process and stays until its end.
void startOnce() {
  static log4cplus::Initializer Started;
  static const bool Attached = (attach(0), true);
  (void)Attached;
}

} // namespace

struct EventLog::Impl {
  log4cplus::Logger Logger_;
};

EventLog::EventLog(std::string Component, std::string_view Level) {
  startOnce();
  Impl_ =
      std::make_unique<Impl>(Impl{log4cplus::Logger::getInstance(Component)});
  setLevel(Level);
}

EventLog::~EventLog() = default;

void EventLog::setLevel(std::string_view Level) {
  Impl_->Logger_.setLogLevel(
      log4cplus::getLogLevelManager().fromString(log4cplus::tstring(Level)));
}

void EventLog::batch() {
  startOnce();
  attach(BatchBytes);
}

void EventLog::flush() {
  if (output())
    output()->flush();
}

void EventLog::error(std::string_view Event,
                     std::initializer_list<Field> Fields) {
  LOG4CPLUS_ERROR(Impl_->Logger_, format(Event, Fields));
}

void EventLog::warn(std::string_view Event,
                    std::initializer_list<Field> Fields) {
  LOG4CPLUS_WARN(Impl_->Logger_, format(Event, Fields));
}

void EventLog::info(std::string_view Event,
                    std::initializer_list<Field> Fields) {
  LOG4CPLUS_INFO(Impl_->Logger_, format(Event, Fields));
}

void EventLog::debug(std::string_view Event,
                     std::initializer_list<Field> Fields) {
  LOG4CPLUS_DEBUG(Impl_->Logger_, format(Event, Fields));
}

} // namespace medlarmoor::telemetry
