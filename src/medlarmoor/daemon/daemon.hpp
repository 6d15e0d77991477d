#ifndef MEDLARMOOR_DAEMON_DAEMON_HPP
#define MEDLARMOOR_DAEMON_DAEMON_HPP

#include <medlarmoor/config/settings.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/fwd.hpp>

#include <memory>
#include <string>

namespace medlarmoor::daemon {

/// One entry instance: joins the threads by bounded mailboxes and serves the
/// admin port.
class Daemon {
public:
  /// SpanFile is where spans are written; standard error when empty.
  Daemon(config::Settings Given, Clock Time, const std::string &SpanFile = {});
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Starts all threads. False, with all findings and nothing left running,
  /// when a port is not free; File names the settings in the findings.
  [[nodiscard]] bool start(const std::string &File, Findings &Out);

  /// The planned stop: hands over flows and requests, says farewell and stops
  /// all threads. Takes no longer than the longest deadline of a service.
  /// False when that passed before all was handed over.
  bool leave();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace medlarmoor::daemon

#endif // MEDLARMOOR_DAEMON_DAEMON_HPP
