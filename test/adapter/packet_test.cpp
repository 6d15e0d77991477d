#include <packet.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace medlarmoor;
using namespace medlarmoor::adapter;

namespace {

std::vector<std::byte> bytes(std::initializer_list<unsigned> Values) {
  std::vector<std::byte> Result;
  for (const unsigned Value : Values)
    Result.push_back(static_cast<std::byte>(Value));
  return Result;
}

/// Returns the example of a SYN in the platform's description of the header.
std::vector<std::byte> exampleSyn() {
  return bytes({0x20, 0x00, 0x00, 0x11, 0x22, 0x33, 0x44, 0x00,
                0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0xa1,
                0xb2, 0xc3, 0xd5, 0x64, 0x40, 0x00, 0x07, 0x9c,
                0x41, 0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01});
}

} // namespace

TEST_CASE("the example SYN of the platform is parsed") {
  const auto Parsed = packetCodec().Read_(exampleSyn());
  REQUIRE(Parsed);
  CHECK(Parsed->Syn_);
  CHECK_FALSE(Parsed->Fin_);
  CHECK_FALSE(Parsed->Rst_);
  CHECK(Parsed->Flow_.text() == "100.64.0.7:40001>198.18.0.1:443");
  CHECK(Parsed->Tag_ == affinity::NoTag);
  CHECK(Parsed->PayloadBytes_ == 0);
}

TEST_CASE("a SYN is rejected with the example reset of the platform") {
  const auto Parsed = packetCodec().Read_(exampleSyn());
  REQUIRE(Parsed);
  const auto Reset = packetCodec().MakeReset_(*Parsed);
  const auto Expected =
      bytes({0x40, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
             0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0xc6, 0x12, 0x00,
             0x01, 0x01, 0xbb, 0x9c, 0x41, 0x64, 0x40, 0x00, 0x07});
  CHECK(std::vector<std::byte>(Reset.begin(), Reset.end()) == Expected);
}

TEST_CASE("writing the tag changes no other byte of a packet") {
  std::vector<std::byte> Packet = exampleSyn();
  packetCodec().WriteTag_(Packet, affinity::Tag(0x01020304));
  const std::vector<std::byte> Original = exampleSyn();
  for (std::size_t I = 0; I < Packet.size(); ++I)
    if (I < 11 || I >= 15)
      CHECK(Packet[I] == Original[I]);
  CHECK(packetCodec().Read_(Packet)->Tag_ == affinity::Tag(0x01020304));
}

TEST_CASE("the encapsulation is the identity of the upstream in eight bytes") {
  std::vector<std::byte> Buffer(8 + 31);
  packetCodec().WriteEncapsulation_(Buffer, 0x7f3a91c2);
  CHECK(std::vector<std::byte>(Buffer.begin(), Buffer.begin() + 8) ==
        bytes({0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2}));
}

TEST_CASE("bytes that are not a valid packet are rejected") {
  std::vector<std::byte> Short = exampleSyn();
  Short.pop_back();
  CHECK_FALSE(packetCodec().Read_(Short));
  std::vector<std::byte> Long = exampleSyn();
  Long.push_back(std::byte{0});
  CHECK_FALSE(packetCodec().Read_(Long));
  CHECK_FALSE(packetCodec().Read_({}));
}
