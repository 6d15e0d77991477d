#include <packet.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace medlarmoor;
using namespace medlarmoor::adapter;

namespace {

std::vector<std::byte> bytes(std::initializer_list<unsigned> Values) {
  std::vector<std::byte> Out;
  for (const unsigned Each : Values)
    Out.push_back(static_cast<std::byte>(Each));
  return Out;
}

/// The SYN of the platform's description of the header.
std::vector<std::byte> exampleSyn() {
  return bytes({0x20, 0x00, 0x00, 0x11, 0x22, 0x33, 0x44, 0x00,
                0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0xa1,
                0xb2, 0xc3, 0xd5, 0x64, 0x40, 0x00, 0x07, 0x9c,
                0x41, 0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01});
}

} // namespace

TEST_CASE("the described SYN is read") {
  const auto Read = packetCodec().Read_(exampleSyn());
  REQUIRE(Read);
  CHECK(Read->Syn_);
  CHECK_FALSE(Read->Fin_);
  CHECK_FALSE(Read->Rst_);
  CHECK(Read->Flow_.text() == "100.64.0.7:40001>198.18.0.1:443");
  CHECK(Read->Tag_ == affinity::NoTag);
  CHECK(Read->Length_ == 0);
}

TEST_CASE("the described reset is what a SYN is rejected with") {
  const auto Read = packetCodec().Read_(exampleSyn());
  REQUIRE(Read);
  const auto Reset = packetCodec().MakeReset_(*Read);
  const auto Described =
      bytes({0x40, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
             0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0xc6, 0x12, 0x00,
             0x01, 0x01, 0xbb, 0x9c, 0x41, 0x64, 0x40, 0x00, 0x07});
  CHECK(std::vector<std::byte>(Reset.begin(), Reset.end()) == Described);
}

TEST_CASE("only the tag of a packet is ever written") {
  std::vector<std::byte> Packet = exampleSyn();
  packetCodec().WriteTag_(Packet, affinity::Tag(0x01020304));
  const std::vector<std::byte> Before = exampleSyn();
  for (std::size_t I = 0; I < Packet.size(); ++I)
    if (I < 11 || I >= 15)
      CHECK(Packet[I] == Before[I]);
  CHECK(packetCodec().Read_(Packet)->Tag_ == affinity::Tag(0x01020304));
}

TEST_CASE("the encapsulation names the upstream in eight bytes") {
  std::vector<std::byte> Room(8 + 31);
  packetCodec().WriteEncapsulation_(Room, 0x7f3a91c2);
  CHECK(std::vector<std::byte>(Room.begin(), Room.begin() + 8) ==
        bytes({0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2}));
}

TEST_CASE("bytes that are no packet are refused") {
  std::vector<std::byte> Short = exampleSyn();
  Short.pop_back();
  CHECK_FALSE(packetCodec().Read_(Short));
  std::vector<std::byte> Long = exampleSyn();
  Long.push_back(std::byte{0});
  CHECK_FALSE(packetCodec().Read_(Long));
  CHECK_FALSE(packetCodec().Read_({}));
}
