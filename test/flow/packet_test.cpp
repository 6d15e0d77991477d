#include <harness/packet_builder.hpp>

#include <medlarmoor/flow/encapsulation.hpp>
#include <medlarmoor/flow/packet.hpp>
#include <medlarmoor/flow/reset.hpp>

#include <catch2/catch.hpp>

#include <functional>

using namespace medlarmoor;
using namespace medlarmoor::flow;
using namespace medlarmoor::harness;

namespace {

const Endpoint Caller(Ipv4(0x7F100101), 40'000);
const Endpoint Service(Ipv4(0xC0000201), 443);

DropReason reasonOf(std::span<const std::byte> Bytes) {
  Packet Seen;
  return parsePacket(Bytes, Seen).value();
}

Packet packetOf(std::span<const std::byte> Bytes) {
  Packet Seen;
  REQUIRE(parsePacket(Bytes, Seen) == std::nullopt);
  return Seen;
}

/// The reason for a good packet that Spoil has changed.
DropReason reasonWhen(const std::function<void(iphdr &, tcphdr &)> &Spoil) {
  std::vector<std::byte> Bytes = buildPacket(Caller, Service, Ack, 20);
  iphdr Ip;
  tcphdr Tcp;
  std::memcpy(&Ip, Bytes.data(), sizeof(Ip));
  std::memcpy(&Tcp, Bytes.data() + sizeof(Ip), sizeof(Tcp));
  Spoil(Ip, Tcp);
  std::memcpy(Bytes.data(), &Ip, sizeof(Ip));
  std::memcpy(Bytes.data() + sizeof(Ip), &Tcp, sizeof(Tcp));
  return reasonOf(Bytes);
}

} // namespace

TEST_CASE("a packet's ends and flags are read") {
  const std::vector<std::byte> Bytes = buildPacket(Caller, Service, Syn, 7);
  const Packet Seen = packetOf(Bytes);
  CHECK(Seen.Source_ == Caller);
  CHECK(Seen.Destination_ == Service);
  CHECK(Seen.opensFlow());
  CHECK(Seen.Sequence_ == 1000);
  CHECK_FALSE(packetOf(buildPacket(Caller, Service, Ack)).opensFlow());
}

TEST_CASE("a packet that is cut off anywhere is dropped") {
  const std::vector<std::byte> Whole = buildPacket(Caller, Service, Ack, 10);
  for (std::size_t Size = 0; Size < Whole.size(); ++Size)
    CHECK(reasonOf(std::span(Whole).first(Size)) ==
          DropReason::TruncatedPacket);
}

TEST_CASE("every kind of bad packet has its reason") {
  CHECK(reasonWhen([](iphdr &Ip, tcphdr &) { Ip.version = 6; }) ==
        DropReason::Ipv6);
  CHECK(reasonWhen([](iphdr &Ip, tcphdr &) { Ip.version = 5; }) ==
        DropReason::MalformedPacket);
  CHECK(reasonWhen([](iphdr &Ip, tcphdr &) { Ip.ihl = 4; }) ==
        DropReason::MalformedPacket);
  CHECK(reasonWhen([](iphdr &Ip, tcphdr &) { Ip.frag_off = htons(IP_MF); }) ==
        DropReason::Fragment);
  CHECK(reasonWhen([](iphdr &Ip, tcphdr &) { Ip.frag_off = htons(5); }) ==
        DropReason::Fragment);
  CHECK(reasonWhen([](iphdr &Ip, tcphdr &) { Ip.protocol = IPPROTO_UDP; }) ==
        DropReason::NotTcp);
  CHECK(reasonWhen([](iphdr &, tcphdr &Tcp) { Tcp.doff = 4; }) ==
        DropReason::MalformedPacket);
  CHECK(reasonWhen([](iphdr &, tcphdr &Tcp) { Tcp.doff = 15; }) ==
        DropReason::TruncatedPacket);
  CHECK(reasonWhen([](iphdr &, tcphdr &Tcp) { Tcp.syn = Tcp.fin = 1; }) ==
        DropReason::MalformedPacket);
  CHECK(reasonWhen([](iphdr &Ip, tcphdr &) { Ip.tot_len = htons(10); }) ==
        DropReason::MalformedPacket);
}

TEST_CASE("encapsulation is read back and anything else refused") {
  std::vector<std::byte> Datagram(PeerGueBytes + 3);
  const auto Header = peerGueHeader({2, PeerIntent::ToPrevious});
  std::copy(Header.begin(), Header.end(), Datagram.begin());
  const auto Passed = std::get<PeerPacket>(decapsulatePeer(Datagram));
  CHECK(Passed.Header_ == PeerHeader{2, PeerIntent::ToPrevious});
  CHECK(Passed.Inner_.size() == 3);
  CHECK(std::get<DropReason>(decapsulate(Datagram)) ==
        DropReason::UnknownEncapsulation);
  CHECK(std::get<DropReason>(decapsulatePeer(std::span(Datagram).first(7))) ==
        DropReason::TruncatedEncapsulation);
  const auto Plain = gueHeader();
  std::copy(Plain.begin(), Plain.end(), Datagram.begin());
  CHECK(std::get<std::span<std::byte>>(decapsulate(Datagram)).size() == 7);
  CHECK(std::get<DropReason>(decapsulate(std::span(Datagram).first(3))) ==
        DropReason::TruncatedEncapsulation);
  Datagram[1] = std::byte{41}; // IPv6 in GUE
  CHECK(std::get<DropReason>(decapsulate(Datagram)) ==
        DropReason::UnknownEncapsulation);
}

TEST_CASE("a reset answers the first packet with a right checksum") {
  const auto First = packetOf(buildPacket(Caller, Service, Syn));
  const auto Bytes = resetFor(First);
  const Packet Reset = packetOf(Bytes);
  CHECK(Reset.Source_ == Service);
  CHECK(Reset.Destination_ == Caller);
  CHECK(Reset.Rst_);
  tcphdr Tcp;
  std::memcpy(&Tcp, Bytes.data() + sizeof(iphdr), sizeof(Tcp));
  CHECK(ntohl(Tcp.ack_seq) == 1001);
  // Over pseudo header and segment, checksum included, the sum is all ones.
  std::uint32_t Sum = IPPROTO_TCP + sizeof(tcphdr);
  for (std::size_t At = 12; At < ResetBytes; At += 2)
    Sum += (std::to_integer<std::uint32_t>(Bytes[At]) << 8U) |
           std::to_integer<std::uint32_t>(Bytes[At + 1]);
  while (Sum > 0xFFFF)
    Sum = (Sum & 0xFFFFU) + (Sum >> 16U);
  CHECK(Sum == 0xFFFF);
}
