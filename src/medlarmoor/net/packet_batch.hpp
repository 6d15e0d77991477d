#ifndef MEDLARMOOR_NET_PACKET_BATCH_HPP
#define MEDLARMOOR_NET_PACKET_BATCH_HPP

#include <medlarmoor/core/endpoint.hpp>

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cstddef>
#include <span>
#include <vector>

namespace medlarmoor::net {

/// Datagrams that one system call receives or sends.
inline constexpr std::size_t BatchPackets = 64;
/// The largest datagram that is passed on, for networks with jumbo frames.
inline constexpr std::size_t DatagramBytes = 9216;

/// Free bytes before each received datagram.
inline constexpr std::size_t HeadroomBytes = 8;

/// Receives datagrams in batches, with room in front of each for a longer
/// header.
class ReceiveBatch {
public:
  ReceiveBatch();

  /// Receives what waits, up to BatchPackets; the number received.
  [[nodiscard]] std::size_t receive(int Socket) noexcept;
  /// The bytes of one received datagram. Eight bytes before them are free.
  [[nodiscard]] std::span<std::byte> bytes(std::size_t Index) noexcept;
  /// The same bytes with the free ones before them.
  [[nodiscard]] std::span<std::byte> withHeadroom(std::size_t Index) noexcept;
  [[nodiscard]] Endpoint from(std::size_t Index) const noexcept;
  /// The datagram was longer than DatagramBytes.
  [[nodiscard]] bool cut(std::size_t Index) const noexcept;

private:
  std::vector<std::byte> Memory_;
  std::array<mmsghdr, BatchPackets> Headers_{};
  std::array<iovec, BatchPackets> Vectors_{};
  std::array<sockaddr_in, BatchPackets> From_{};
};

/// Sends datagrams in batches. The bytes must live until flush().
class SendBatch {
public:
  SendBatch();

  /// Adds a datagram; there must be room for it.
  void add(Endpoint To, std::span<const std::byte> Bytes) noexcept;
  [[nodiscard]] bool full() const noexcept { return Count_ == BatchPackets; }
  /// Sends all; the number that the system did not take.
  std::size_t flush(int Socket) noexcept;

private:
  std::size_t Count_ = 0;
  std::array<mmsghdr, BatchPackets> Headers_{};
  std::array<iovec, BatchPackets> Vectors_{};
  std::array<sockaddr_in, BatchPackets> To_{};
};

} // namespace medlarmoor::net

#endif // MEDLARMOOR_NET_PACKET_BATCH_HPP
