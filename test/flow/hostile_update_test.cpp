#include <harness/mutate.hpp>

#include <medlarmoor/flow/update.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace medlarmoor;
using namespace medlarmoor::flow;

TEST_CASE("hostile peer: an array size that exceeds the memory is refused") {
  // A CBOR array that claims 2^62 elements.
  const std::vector<std::byte> Bytes{
      std::byte{0x9b}, std::byte{0x40}, std::byte{0},
      std::byte{0},    std::byte{0},    std::byte{0},
      std::byte{0},    std::byte{0},    std::byte{0}};
  CHECK_FALSE(Update::decode(Bytes));
}

TEST_CASE("hostile peer: no update stops this instance") {
  Update Example;
  const std::vector<std::byte> Bytes = Example.encode();
  const std::string Text(reinterpret_cast<const char *>(Bytes.data()),
                         Bytes.size());
  CHECK(rc::check([&] {
    const std::string Hostile = harness::mutate(Text);
    const auto *First = reinterpret_cast<const std::byte *>(Hostile.data());
    (void)Update::decode({First, Hostile.size()});
  }));
  CHECK(rc::check([](const std::vector<std::uint8_t> &Noise) {
    const auto *First = reinterpret_cast<const std::byte *>(Noise.data());
    (void)Update::decode({First, Noise.size()});
  }));
}
