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

/// One edge instance: forwards packets, follows the store, answers routers.
/// Everything runs on the thread that calls run().
class EdgeServer {
public:
  /// File holds the settings; it is read again on SIGHUP and when it changes.
  EdgeServer(config::EdgeSettings Settings, std::string File,
             PacketCodec Packets, StoreCodec Store, Clock Time);
  ~EdgeServer();
  EdgeServer(const EdgeServer &) = delete;
  EdgeServer &operator=(const EdgeServer &) = delete;

  /// Binds all addresses; false, with findings, when one is not free.
  [[nodiscard]] bool start(Findings &Out);
  /// Serves until SIGTERM or SIGINT and until routers have turned away.
  void run();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_EDGE_SERVER_HPP
