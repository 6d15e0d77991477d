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

/// The thread that serves the request door: the ports `requests` for callers
/// and `internal` for other entries.
class RequestThread {
public:
  /// All that is passed by reference must outlive the thread.
  RequestThread(const config::Settings &Own,
                Mailbox<config::InForcePtr> &FromConfig,
                Mailbox<membership::ViewPtr> &Views, Clock Time,
                telemetry::Registry &Metrics, telemetry::EventLog &Log,
                telemetry::SpanLog &Spans);
  ~RequestThread();
  RequestThread(const RequestThread &) = delete;
  RequestThread &operator=(const RequestThread &) = delete;

  /// Binds both ports and starts the thread; false with lastReason().
  [[nodiscard]] bool start();
  /// Asks the thread to end and joins it. Open requests are cut off: call
  /// leave() and wait for handedOver() first.
  void stop();
  /// Begins the planned handover: queued requests move to the next
  /// dispatcher, those that run are finished. Callable from any thread.
  void leave();
  /// Whether the handover is complete and no caller waits.
  [[nodiscard]] bool handedOver() const;
  /// What this entry knows about Key, as JSON text. Callable from any thread
  /// while this one runs.
  [[nodiscard]] std::string explain(const std::string &Key);
  /// Why start() returned false.
  [[nodiscard]] const std::string &lastReason() const noexcept;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_REQUEST_THREAD_HPP
