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

DropReason dropReasonOf(std::span<const std::byte> Bytes) {
  Packet Parsed;
  return parsePacket(Bytes, Parsed).value();
}

Packet mustParse(std::span<const std::byte> Bytes) {
  Packet Parsed;
  REQUIRE(parsePacket(Bytes, Parsed) == std::nullopt);
  return Parsed;
}

/// Returns why a valid packet is dropped after Corrupt has changed its headers.
DropReason
dropReasonAfter(const std::function<void(iphdr &, tcphdr &)> &Corrupt) {
  std::vector<std::byte> Bytes = buildPacket(Caller, Service, Ack, 20);
  iphdr Ip;
  tcphdr Tcp;
  std::memcpy(&Ip, Bytes.data(), sizeof(Ip));
  std::memcpy(&Tcp, Bytes.data() + sizeof(Ip), sizeof(Tcp));
  Corrupt(Ip, Tcp);
  std::memcpy(Bytes.data(), &Ip, sizeof(Ip));
  std::memcpy(Bytes.data() + sizeof(Ip), &Tcp, sizeof(Tcp));
  return dropReasonOf(Bytes);
}

} // namespace

TEST_CASE("the endpoints, flags and sequence number of a packet are parsed") {
  const std::vector<std::byte> Bytes = buildPacket(Caller, Service, Syn, 7);
  const Packet Parsed = mustParse(Bytes);
  CHECK(Parsed.Source_ == Caller);
  CHECK(Parsed.Destination_ == Service);
  CHECK(Parsed.opensFlow());
  CHECK(Parsed.Sequence_ == 1000);
  CHECK_FALSE(mustParse(buildPacket(Caller, Service, Ack)).opensFlow());
}

TEST_CASE("a packet truncated at any length is dropped") {
  const std::vector<std::byte> Complete = buildPacket(Caller, Service, Ack, 10);
  for (std::size_t Size = 0; Size < Complete.size(); ++Size)
    CHECK(dropReasonOf(std::span(Complete).first(Size)) ==
          DropReason::TruncatedPacket);
}

TEST_CASE("each kind of invalid packet is dropped with its own reason") {
  CHECK(dropReasonAfter([](iphdr &Ip, tcphdr &) { Ip.version = 6; }) ==
        DropReason::Ipv6);
  CHECK(dropReasonAfter([](iphdr &Ip, tcphdr &) { Ip.version = 5; }) ==
        DropReason::MalformedPacket);
  CHECK(dropReasonAfter([](iphdr &Ip, tcphdr &) { Ip.ihl = 4; }) ==
        DropReason::MalformedPacket);
  CHECK(dropReasonAfter([](iphdr &Ip, tcphdr &) {
          Ip.frag_off = htons(IP_MF);
        }) == DropReason::Fragment);
  CHECK(dropReasonAfter([](iphdr &Ip, tcphdr &) { Ip.frag_off = htons(5); }) ==
        DropReason::Fragment);
  CHECK(dropReasonAfter([](iphdr &Ip, tcphdr &) {
          Ip.protocol = IPPROTO_UDP;
        }) == DropReason::NotTcp);
  CHECK(dropReasonAfter([](iphdr &, tcphdr &Tcp) { Tcp.doff = 4; }) ==
        DropReason::MalformedPacket);
  CHECK(dropReasonAfter([](iphdr &, tcphdr &Tcp) { Tcp.doff = 15; }) ==
        DropReason::TruncatedPacket);
  CHECK(dropReasonAfter([](iphdr &, tcphdr &Tcp) { Tcp.syn = Tcp.fin = 1; }) ==
        DropReason::MalformedPacket);
  CHECK(dropReasonAfter([](iphdr &Ip, tcphdr &) { Ip.tot_len = htons(10); }) ==
        DropReason::MalformedPacket);
}

TEST_CASE("encapsulation headers are decoded and unknown ones rejected") {
  std::vector<std::byte> Datagram(PeerGueBytes + 3);
  const auto Header = peerGueHeader({2, PeerIntent::ToPrevious});
  std::copy(Header.begin(), Header.end(), Datagram.begin());
  const auto Decapsulated = std::get<PeerPacket>(decapsulatePeer(Datagram));
  CHECK(Decapsulated.Header_ == PeerHeader{2, PeerIntent::ToPrevious});
  CHECK(Decapsulated.Inner_.size() == 3);
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

TEST_CASE("a reset answers the first packet with a valid checksum") {
  const auto FirstPacket = mustParse(buildPacket(Caller, Service, Syn));
  const auto Bytes = buildReset(FirstPacket);
  const Packet Reset = mustParse(Bytes);
  CHECK(Reset.Source_ == Service);
  CHECK(Reset.Destination_ == Caller);
  CHECK(Reset.Rst_);
  tcphdr Tcp;
  std::memcpy(&Tcp, Bytes.data() + sizeof(iphdr), sizeof(Tcp));
  CHECK(ntohl(Tcp.ack_seq) == 1001);
  // The sum over pseudo-header and segment including the checksum is all ones.
  std::uint32_t Sum = IPPROTO_TCP + sizeof(tcphdr);
  for (std::size_t Offset = 12; Offset < ResetBytes; Offset += 2)
    Sum += (std::to_integer<std::uint32_t>(Bytes[Offset]) << 8U) |
           std::to_integer<std::uint32_t>(Bytes[Offset + 1]);
  while (Sum > 0xFFFF)
    Sum = (Sum & 0xFFFFU) + (Sum >> 16U);
  CHECK(Sum == 0xFFFF);
}
