#ifndef MEDLARMOOR_PLATFORM_CONFIG_THREAD_HPP
#define MEDLARMOOR_PLATFORM_CONFIG_THREAD_HPP

#include <medlarmoor/config/in_force.hpp>
#include <medlarmoor/config/settings.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/mailbox.hpp>
#include <medlarmoor/membership/view.hpp>
#include <medlarmoor/telemetry/fwd.hpp>
#include <medlarmoor/wire/incoming.hpp>
#include <medlarmoor/wire/outgoing.hpp>

#include <memory>
#include <string>

namespace medlarmoor::platform {

/// The thread that keeps the document of the environment in force: it carries
/// the events and actions of config::Follower and config::StatusKeeper, and
/// serves the port `config` to neighbours.
class ConfigThread {
public:
  /// Documents go to the first three mailboxes; views and verified control
  /// messages come from the next two; notices to neighbours go to the last.
  ConfigThread(const config::Settings &Given,
               Mailbox<config::InForcePtr> &ToFlow,
               Mailbox<config::InForcePtr> &ToRequests,
               Mailbox<config::InForcePtr> &ToControl,
               Mailbox<membership::ViewPtr> &Views,
               Mailbox<wire::Incoming> &Messages,
               Mailbox<wire::Outgoing> &ToPeers, Clock Time,
               telemetry::Registry &Metrics, telemetry::EventLog &Log);
  ~ConfigThread();
  ConfigThread(const ConfigThread &) = delete;
  ConfigThread &operator=(const ConfigThread &) = delete;

  /// Binds the port and starts; false with lastReason() when it is not free.
  [[nodiscard]] bool start();
  /// Ends the thread and waits for it.
  void stop();
  /// Why start() returned false.
  [[nodiscard]] const std::string &lastReason() const noexcept;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace medlarmoor::platform

#endif // MEDLARMOOR_PLATFORM_CONFIG_THREAD_HPP
