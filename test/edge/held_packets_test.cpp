#include <harness/catalog_builder.hpp>

#include <medlarmoor/edge/held_packets.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::edge;
using medlarmoor::harness::at;

namespace {

std::vector<std::byte> datagram(int Value) {
  return std::vector<std::byte>(39, static_cast<std::byte>(Value));
}

} // namespace

TEST_CASE("restart of all instances: packets that arrive before the lists are "
          "held and handled in order") {
  HeldPackets Held;
  CHECK(Held.empty());
  CHECK(Held.hold(datagram(1), at(0)));
  CHECK(Held.hold(datagram(2), at(10)));
  CHECK(Held.take(at(25)) == std::vector{datagram(1), datagram(2)});
  CHECK(Held.empty());
  CHECK(Held.take(at(30)).empty());
}

TEST_CASE("start without a store: packets that their senders have repeated are "
          "not handled") {
  HeldPackets Held;
  CHECK(Held.hold(datagram(1), at(0)));
  CHECK(Held.hold(datagram(2), at(300)));
  CHECK(Held.take(at(500)) == std::vector<std::vector<std::byte>>{datagram(2)});
}

TEST_CASE("start under load: the number of held packets is bounded") {
  HeldPackets Held;
  std::size_t Count = 0;
  while (Count < 100'000 && Held.hold(datagram(3), at(0)))
    ++Count;
  CHECK(Count == 2048);
  // Old packets make room.
  CHECK(Held.hold(datagram(4), at(1000)));
  CHECK(Held.take(at(1000)) ==
        std::vector<std::vector<std::byte>>{datagram(4)});
}
