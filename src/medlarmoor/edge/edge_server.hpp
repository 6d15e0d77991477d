#ifndef MEDLARMOOR_EDGE_EDGE_SERVER_HPP
#define MEDLARMOOR_EDGE_EDGE_SERVER_HPP

#include <medlarmoor/config/edge_settings.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/fwd.hpp>
#include <medlarmoor/edge/packet_codec.hpp>
#include <medlarmoor/edge/store_codec.hpp>

#include <memory>
#include <string>

namespace medlarmoor::edge {

/// One edge instance: forwards packets, follows the store and answers the
/// readiness probes of routers. Everything runs on the thread that calls run().
class EdgeServer {
public:
  /// File is the settings file. It is read again on SIGHUP and when it changes.
  EdgeServer(config::EdgeSettings Settings, std::string File,
             PacketCodec Packets, StoreCodec Store, Clock Time);
  ~EdgeServer();
  EdgeServer(const EdgeServer &) = delete;
  EdgeServer &operator=(const EdgeServer &) = delete;

  /// Binds all addresses. Returns false and adds findings to Errors if one of
  /// them cannot be bound.
  [[nodiscard]] bool start(Findings &Errors);
  /// Runs until SIGTERM or SIGINT, and then until routers no longer send to
  /// this instance or the grace time is nearly over.
  void run();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_EDGE_SERVER_HPP
