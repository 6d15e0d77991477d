#ifndef MEDLARMOOR_REQUEST_REQUEST_THREAD_HPP
#define MEDLARMOOR_REQUEST_REQUEST_THREAD_HPP

#include <medlarmoor/config/fwd.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/fwd.hpp>
#include <medlarmoor/membership/fwd.hpp>
#include <medlarmoor/telemetry/fwd.hpp>

#include <memory>
#include <string>

namespace medlarmoor::request {

/// The thread that serves the request listeners: port `requests` for callers
/// and port `internal` for other entries.
class RequestThread {
public:
  /// All arguments that are passed by reference must outlive the thread.
  RequestThread(const config::Settings &Settings,
                Mailbox<config::ActiveConfigPtr> &ConfigUpdates,
                Mailbox<membership::ViewPtr> &Views, Clock Time,
                telemetry::Registry &Metrics, telemetry::EventLog &Log,
                telemetry::SpanLog &Spans);
  ~RequestThread();
  RequestThread(const RequestThread &) = delete;
  RequestThread &operator=(const RequestThread &) = delete;

  /// Binds both ports and starts the thread. On failure, returns false and sets
  /// lastReason().
  [[nodiscard]] bool start();
  /// Stops the thread and joins it. Requests in flight are aborted, so call
  /// leave() and wait for handoffComplete() first.
  void stop();
  /// Starts the planned handoff: queued requests move to the successor, and
  /// requests in flight are completed. Callable from any thread.
  void leave();
  /// Returns true if the handoff is complete and no caller waits. Callable from
  /// any thread.
  [[nodiscard]] bool handoffComplete() const;
  /// Returns what this entry knows about Key, as JSON text. Callable from any
  /// other thread while this one runs; waits at most one second.
  [[nodiscard]] std::string explain(const std::string &Key);
  /// Returns the reason for which start() returned false.
  [[nodiscard]] const std::string &lastReason() const noexcept;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_REQUEST_THREAD_HPP
