#ifndef MEDLARMOOR_EDGE_PACKET_LOOP_HPP
#define MEDLARMOOR_EDGE_PACKET_LOOP_HPP

#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/edge/decision_log.hpp>
#include <medlarmoor/edge/forwarder.hpp>
#include <medlarmoor/edge/held_packets.hpp>
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
#include <unordered_map>
#include <vector>

namespace medlarmoor::edge {

/// Receives clients' packets and carries out the decisions of the Forwarder.
class PacketLoop {
public:
  /// Freshness is called once per received batch and returns which collections
  /// are current. Forwarder, Readiness and Log must outlive the loop.
  PacketLoop(boost::asio::io_context &Io, Endpoint Address, PacketCodec Codec,
             Forwarder &Forwarder, Readiness &Readiness, DecisionLog &Log,
             std::function<Freshness()> Freshness, Clock Time);
  ~PacketLoop();
  PacketLoop(const PacketLoop &) = delete;
  PacketLoop &operator=(const PacketLoop &) = delete;

  /// Binds the address and begins to receive. Returns false on failure;
  /// lastReason() then says why.
  [[nodiscard]] bool start();
  [[nodiscard]] const std::string &lastReason() const noexcept {
    return Socket_.lastReason();
  }
  /// Handles the packets that were held until the lists were loaded. To be
  /// called when routes or upstreams have been loaded or found unchanged.
  void handleHeld();
  /// Handles all packets that have arrived. To be called before the exit.
  void drain();

private:
  /// A SYN that is sent again unless its handshake completes by DueAt_.
  struct PendingSyn {
    TimePoint PlacedAt_;
    TimePoint DueAt_;
    affinity::Packet Packet_;
    /// Headroom for the encapsulation, followed by the packet.
    std::vector<std::byte> Bytes_;
  };

  /// A SYN that waits until an upstream has a free slot.
  struct WaitingSyn {
    affinity::Packet Packet_;
    /// The tag that Bytes_ holds.
    affinity::Tag DatagramTag_;
    /// Headroom for the encapsulation, followed by the packet.
    std::vector<std::byte> Bytes_;
  };

  void waitForPackets();
  /// Receives and handles one batch. Returns false if no packet was waiting.
  bool receiveBatch();
  /// Handles a packet with the headroom before it. Reset provides memory for
  /// the answer until the batch is sent.
  void handlePacket(std::span<std::byte> Datagram, PacketCodec::Reset &Reset,
                    Freshness Fresh, TimePoint Now);
  /// Carries out the decision about a packet. DatagramTag is the tag that
  /// Datagram holds now.
  void carryOut(const Decision &Action, std::span<std::byte> Datagram,
                const affinity::Packet &Packet, affinity::Tag DatagramTag,
                PacketCodec::Reset &Reset, TimePoint Now);
  /// Places or refuses the waiting SYNs that need not wait any longer.
  void releaseWaiting();
  /// Starts the timer of the next check of waiting SYNs unless it is running.
  void armReleaseTimer();
  void flush();
  /// Adds a packet to the send batch. DatagramTag is the tag that Datagram
  /// holds now.
  void deliver(std::span<std::byte> Datagram, const affinity::Packet &Packet,
               affinity::Tag DatagramTag, const Deliver &Delivery);
  void scheduleRetry(const affinity::Packet &Packet,
                     std::span<const std::byte> Datagram, TimePoint PlacedAt,
                     TimePoint Now);
  /// Starts the timer for the first pending SYN unless it is running.
  void armRetryTimer(TimePoint Now);
  void retryDueSyns();

  Endpoint Address_;
  PacketCodec Codec_;
  Forwarder &Forwarder_;
  Readiness &Readiness_;
  DecisionLog &Log_;
  std::function<Freshness()> Freshness_;
  Clock Time_;
  net::UdpSocket Socket_;
  boost::asio::posix::stream_descriptor Readable_;
  boost::asio::steady_timer RetryTimer_;
  bool RetryTimerArmed_ = false;
  boost::asio::steady_timer ReleaseTimer_;
  bool ReleaseTimerArmed_ = false;
  std::unordered_map<affinity::FlowKey, WaitingSyn> WaitingSyns_;
  HeldPackets Held_;
  /// In ascending order of DueAt_.
  std::deque<PendingSyn> PendingSyns_;
  /// Time at which the socket last held no more packets.
  TimePoint EmptiedAt_{};
  net::ReceiveBatch ReceiveBatch_;
  net::SendBatch SendBatch_;
  /// Buffers for the resets of the current batch, indexed like its packets.
  std::array<PacketCodec::Reset, net::BatchPackets> Resets_{};
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_PACKET_LOOP_HPP
