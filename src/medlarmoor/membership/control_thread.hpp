#ifndef MEDLARMOOR_MEMBERSHIP_CONTROL_THREAD_HPP
#define MEDLARMOOR_MEMBERSHIP_CONTROL_THREAD_HPP

#include <medlarmoor/config/fwd.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/membership/control_mailboxes.hpp>
#include <medlarmoor/membership/control_status.hpp>
#include <medlarmoor/telemetry/fwd.hpp>

#include <memory>
#include <string>

namespace medlarmoor::membership {

/// Runs the mesh: passes events to it and performs its actions. Owns the UDP
/// port of control messages, signs and sends the messages of the other threads,
/// routes verified messages to them by type, and reads the platform's list of
/// instances.
class ControlThread {
public:
  /// Settings, Metrics and Events must outlive the thread.
  ControlThread(const config::Settings &Settings, ControlMailboxes Mailboxes,
                Clock Time, telemetry::Registry &Metrics,
                telemetry::EventLog &Events);
  ~ControlThread();
  ControlThread(const ControlThread &) = delete;
  ControlThread &operator=(const ControlThread &) = delete;

  /// Binds the port and starts the thread. Returns false and sets lastReason()
  /// if the port cannot be bound.
  [[nodiscard]] bool start();
  /// Stops the thread and joins it.
  void stop();
  /// Returns why start() failed.
  [[nodiscard]] const std::string &lastReason() const noexcept;

  /// Announces that this entry begins a planned stop. Thread-safe.
  void leave();
  /// Announces that the handoff is complete and the entry stops. Thread-safe.
  void completeLeave();
  /// Returns the status that was last recorded. Thread-safe.
  [[nodiscard]] ControlStatus status() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_CONTROL_THREAD_HPP
