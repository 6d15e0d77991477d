#include <medlarmoor/net/packet_batch.hpp>
#include <medlarmoor/net/sockaddr.hpp>

namespace medlarmoor::net {

namespace {

constexpr std::size_t StrideBytes = HeadroomBytes + DatagramBytes;

} // namespace

ReceiveBatch::ReceiveBatch() : Memory_(BatchPackets * StrideBytes) {
  for (std::size_t I = 0; I < BatchPackets; ++I) {
    Vectors_[I] = {Memory_.data() + I * StrideBytes + HeadroomBytes,
                   DatagramBytes};
    Headers_[I].msg_hdr.msg_iov = &Vectors_[I];
    Headers_[I].msg_hdr.msg_iovlen = 1;
    Headers_[I].msg_hdr.msg_name = &From_[I];
  }
}

std::size_t ReceiveBatch::receive(int Socket) noexcept {
  for (mmsghdr &Each : Headers_)
    Each.msg_hdr.msg_namelen = sizeof(sockaddr_in);
  const int Count =
      recvmmsg(Socket, Headers_.data(), BatchPackets, MSG_DONTWAIT, nullptr);
  return Count < 0 ? 0 : static_cast<std::size_t>(Count);
}

std::span<std::byte> ReceiveBatch::bytes(std::size_t Index) noexcept {
  return {Memory_.data() + Index * StrideBytes + HeadroomBytes,
          Headers_[Index].msg_len};
}

std::span<std::byte> ReceiveBatch::withHeadroom(std::size_t Index) noexcept {
  return {Memory_.data() + Index * StrideBytes,
          HeadroomBytes + Headers_[Index].msg_len};
}

Endpoint ReceiveBatch::from(std::size_t Index) const noexcept {
  return toEndpoint(From_[Index]);
}

bool ReceiveBatch::cut(std::size_t Index) const noexcept {
  return (Headers_[Index].msg_hdr.msg_flags & MSG_TRUNC) != 0;
}

SendBatch::SendBatch() {
  for (std::size_t I = 0; I < BatchPackets; ++I) {
    Headers_[I].msg_hdr.msg_iov = &Vectors_[I];
    Headers_[I].msg_hdr.msg_iovlen = 1;
    Headers_[I].msg_hdr.msg_name = &To_[I];
    Headers_[I].msg_hdr.msg_namelen = sizeof(sockaddr_in);
  }
}

void SendBatch::add(Endpoint To, std::span<const std::byte> Bytes) noexcept {
  To_[Count_] = toSockaddr(To);
  Vectors_[Count_] = {const_cast<std::byte *>(Bytes.data()), Bytes.size()};
  ++Count_;
}

std::size_t SendBatch::flush(int Socket) noexcept {
  std::size_t Failed = 0;
  for (std::size_t At = 0; At < Count_;) {
    const int Sent = sendmmsg(Socket, Headers_.data() + At,
                              static_cast<unsigned>(Count_ - At), 0);
    if (Sent > 0) {
      At += static_cast<std::size_t>(Sent);
      continue;
    }
    // The first datagram was not taken; the others may be.
    ++Failed;
    ++At;
  }
  Count_ = 0;
  return Failed;
}

} // namespace medlarmoor::net
