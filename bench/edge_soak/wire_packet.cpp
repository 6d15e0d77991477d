#include <bench/edge_soak/wire_packet.hpp>

#include <medlarmoor/core/hash.hpp>

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <array>

namespace medlarmoor::bench::soak {

namespace {

namespace endian = boost::endian;

constexpr std::size_t HeaderBytes = 31;
constexpr std::size_t EchoAt = 11;
constexpr std::size_t SumAt = 15;
constexpr std::size_t WordBytes = 4;
constexpr std::uint64_t SumKey = 0x5eed'0f'50a7;

constexpr unsigned char SynFlag = 32;
constexpr unsigned char AckFlag = 4;
constexpr unsigned char FinFlag = 128;
constexpr unsigned char RstFlag = 64;

using Bytes = std::vector<unsigned char>;

std::uint32_t checksum(Bytes Packet) {
  std::fill_n(Packet.begin() + EchoAt, WordBytes, 0);
  std::fill_n(Packet.begin() + SumAt, WordBytes, 0);
  const auto Sum = static_cast<std::uint32_t>(
      hashBytes(Packet.data(), Packet.size(), SumKey));
  return Sum == 0 ? 1 : Sum;
}

} // namespace

std::vector<std::byte> encode(const WirePacket &Each) {
  Bytes Out(HeaderBytes);
  Out[0] = static_cast<unsigned char>(
      (Each.Syn_ ? SynFlag : 0U) | (Each.Ack_ ? AckFlag : 0U) |
      (Each.Fin_ ? FinFlag : 0U) | (Each.Rst_ ? RstFlag : 0U));
  endian::store_big_u16(&Out[1], static_cast<std::uint16_t>(Each.Data_.size()));
  endian::store_big_u32(&Out[3], Each.Sequence_);
  endian::store_big_u32(&Out[7], Each.Acknowledged_);
  endian::store_big_u32(&Out[EchoAt], Each.Echo_);
  endian::store_big_u32(&Out[19], Each.Source_.address().value());
  endian::store_big_u16(&Out[23], Each.Source_.port());
  endian::store_big_u16(&Out[25], Each.Destination_.port());
  endian::store_big_u32(&Out[27], Each.Destination_.address().value());
  Out.insert(Out.end(), Each.Data_.begin(), Each.Data_.end());
  endian::store_big_u32(&Out[SumAt], checksum(Out));
  std::vector<std::byte> Raw(Out.size());
  std::transform(Out.begin(), Out.end(), Raw.begin(),
                 [](unsigned char Byte) { return std::byte{Byte}; });
  return Raw;
}

std::optional<WirePacket> decode(std::span<const std::byte> Datagram) {
  if (Datagram.size() < HeaderBytes)
    return std::nullopt;
  const auto *First = reinterpret_cast<const unsigned char *>(Datagram.data());
  const Bytes In(First, First + Datagram.size());
  if (In.size() != HeaderBytes + endian::load_big_u16(&In[1]))
    return std::nullopt;
  WirePacket Out;
  Out.Syn_ = (In[0] & SynFlag) != 0;
  Out.Ack_ = (In[0] & AckFlag) != 0;
  Out.Fin_ = (In[0] & FinFlag) != 0;
  Out.Rst_ = (In[0] & RstFlag) != 0;
  Out.Sequence_ = endian::load_big_u32(&In[3]);
  Out.Acknowledged_ = endian::load_big_u32(&In[7]);
  Out.Echo_ = endian::load_big_u32(&In[EchoAt]);
  Out.Source_ = {Ipv4(endian::load_big_u32(&In[19])),
                 endian::load_big_u16(&In[23])};
  Out.Destination_ = {Ipv4(endian::load_big_u32(&In[27])),
                      endian::load_big_u16(&In[25])};
  Out.Data_.assign(In.begin() + HeaderBytes, In.end());
  Out.Genuine_ = endian::load_big_u32(&In[SumAt]) == checksum(In);
  return Out;
}

} // namespace medlarmoor::bench::soak
