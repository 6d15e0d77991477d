#ifndef MEDLARMOOR_PLATFORM_CONFIG_THREAD_HPP
#define MEDLARMOOR_PLATFORM_CONFIG_THREAD_HPP

#include <medlarmoor/config/active_config.hpp>
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

/// The thread that keeps the newest document of the environment in force. It
/// passes events to config::Follower and config::StatusWriter, performs their
/// actions, and serves the document to neighbours on the port `config`.
class ConfigThread {
public:
  /// Sends documents to the first three mailboxes, receives views and verified
  /// control messages from the next two, and sends notices to neighbours to the
  /// last.
  ConfigThread(const config::Settings &Settings,
               Mailbox<config::ActiveConfigPtr> &ToFlow,
               Mailbox<config::ActiveConfigPtr> &ToRequests,
               Mailbox<config::ActiveConfigPtr> &ToControl,
               Mailbox<membership::ViewPtr> &Views,
               Mailbox<wire::Incoming> &Messages,
               Mailbox<wire::Outgoing> &ToPeers, Clock Time,
               telemetry::Registry &Metrics, telemetry::EventLog &Log);
  ~ConfigThread();
  ConfigThread(const ConfigThread &) = delete;
  ConfigThread &operator=(const ConfigThread &) = delete;

  /// Binds the port and starts the thread. Returns false on failure;
  /// lastReason() then says why.
  [[nodiscard]] bool start();
  /// Stops the thread and waits until it has ended.
  void stop();
  /// Returns why start() returned false.
  [[nodiscard]] const std::string &lastReason() const noexcept;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace medlarmoor::platform

#endif // MEDLARMOOR_PLATFORM_CONFIG_THREAD_HPP
