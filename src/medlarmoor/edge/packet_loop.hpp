#ifndef MEDLARMOOR_EDGE_PACKET_LOOP_HPP
#define MEDLARMOOR_EDGE_PACKET_LOOP_HPP

#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/edge/decision_log.hpp>
#include <medlarmoor/edge/forwarder.hpp>
#include <medlarmoor/edge/packet_codec.hpp>
#include <medlarmoor/edge/readiness.hpp>
#include <medlarmoor/net/packet_batch.hpp>
#include <medlarmoor/net/udp_socket.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace medlarmoor::edge {

/// Receives clients' packets and sends them where the Forwarder says.
class PacketLoop {
public:
  /// Known tells, for each batch, how recent what is known is.
  PacketLoop(boost::asio::io_context &Io, Endpoint Where, PacketCodec Codec,
             Forwarder &Decisions, Readiness &Ready, DecisionLog &Log,
             std::function<Knowledge()> Known, Clock Time);
  ~PacketLoop();
  PacketLoop(const PacketLoop &) = delete;
  PacketLoop &operator=(const PacketLoop &) = delete;

  /// Binds the address and begins to receive; false with lastReason().
  [[nodiscard]] bool start();
  [[nodiscard]] const std::string &lastReason() const noexcept {
    return Socket_.lastReason();
  }

private:
  /// A SYN that goes to another upstream unless it is answered soon.
  struct PendingSyn {
    TimePoint PlacedAt_;
    TimePoint DueAt_;
    affinity::Packet Packet_;
    /// Room for the encapsulation, and the packet.
    std::vector<std::byte> Bytes_;
  };

  void wait();
  /// Handles what waits; tells whether there was anything.
  bool receiveBatch();
  void handle(std::size_t Index, Knowledge Known, TimePoint Now);
  void deliver(std::span<std::byte> Datagram, const affinity::Packet &In,
               affinity::Tag Carried, const Deliver &To);
  void watchSyn(const affinity::Packet &In, std::span<const std::byte> Datagram,
                TimePoint Now);
  void armRetries(TimePoint Now);
  void retryDue();

  Endpoint Where_;
  PacketCodec Codec_;
  Forwarder &Decisions_;
  Readiness &Ready_;
  DecisionLog &Log_;
  std::function<Knowledge()> Known_;
  Clock Time_;
  net::UdpSocket Socket_;
  boost::asio::posix::stream_descriptor Readable_;
  boost::asio::steady_timer Retries_;
  bool RetriesArmed_ = false;
  /// In the order of their times.
  std::deque<PendingSyn> Pending_;
  net::ReceiveBatch Received_;
  net::SendBatch Sent_;
  /// Resets of the batch under way, one place a packet.
  std::array<PacketCodec::Reset, net::BatchPackets> Resets_{};
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_PACKET_LOOP_HPP
