#ifndef MEDLARMOOR_EDGE_HELD_PACKETS_HPP
#define MEDLARMOOR_EDGE_HELD_PACKETS_HPP

#include <medlarmoor/core/time.hpp>

#include <cstddef>
#include <deque>
#include <span>
#include <vector>

namespace medlarmoor::edge {

/// Packets that arrived before this instance had loaded its routes and
/// upstreams. Their senders would repeat them much later than the instance
/// becomes ready.
class HeldPackets {
public:
  /// Holds a packet, with the headroom before it. Returns false if too many are
  /// held.
  bool hold(std::span<const std::byte> Datagram, TimePoint Now);
  /// Returns the packets whose senders may still wait for them, in the order of
  /// arrival, and clears the queue.
  [[nodiscard]] std::vector<std::vector<std::byte>> take(TimePoint Now);
  [[nodiscard]] bool empty() const noexcept { return Packets_.empty(); }

private:
  struct Packet {
    TimePoint ReceivedAt_;
    std::vector<std::byte> Datagram_;
  };

  std::deque<Packet> Packets_;
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_HELD_PACKETS_HPP
