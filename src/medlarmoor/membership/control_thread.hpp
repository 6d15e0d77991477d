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

/// Carries the events and actions of the mesh: owns the UDP port of control
/// messages, signs what the other threads send, hands verified messages to
/// them by type, and reads the platform's list of instances.
class ControlThread {
public:
  /// Settings must outlive the thread.
  ControlThread(const config::Settings &Settings, ControlMailboxes Mailboxes,
                Clock Time, telemetry::Registry &Metrics,
                telemetry::EventLog &Events);
  ~ControlThread();
  ControlThread(const ControlThread &) = delete;
  ControlThread &operator=(const ControlThread &) = delete;

  /// Binds the port and starts the thread; false with lastReason().
  [[nodiscard]] bool start();
  /// Stops the thread and waits for its end.
  void stop();
  [[nodiscard]] const std::string &lastReason() const noexcept;

  /// Tells the others that this entry is leaving. From any thread.
  void leave();
  /// Tells the others that it has handed over. From any thread.
  void farewell();
  /// What the thread last knew. From any thread.
  [[nodiscard]] ControlStatus status() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_CONTROL_THREAD_HPP
