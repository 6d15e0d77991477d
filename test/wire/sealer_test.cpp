#include <medlarmoor/wire/incarnation.hpp>
#include <medlarmoor/wire/sealer.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::wire;

namespace {

config::SharedKey key(std::uint8_t Id, unsigned char Fill) {
  return {Id, std::vector<std::byte>(32, std::byte{Fill})};
}

struct Pair {
  std::shared_ptr<ManualClock> Time_ = std::make_shared<ManualClock>();
  Sealer A_{EntryName("a"), Incarnation(10), KeyRing({key(1, 5)}),
            Clock(Time_)};
  Sealer B_{EntryName("b"), Incarnation(20), KeyRing({key(1, 5)}),
            Clock(Time_)};
};

const Message Notice = ConfigNotice{ConfigVersion(3)};

} // namespace

TEST_CASE("a sealed message names its sender and passes once") {
  Pair Both;
  const auto Datagram = Both.A_.seal(Notice);
  const auto Opened = Both.B_.open(Datagram);
  REQUIRE(Opened);
  CHECK(Opened->From_ == EntryName("a"));
  CHECK(Opened->Incarnation_ == Incarnation(10));
  CHECK(Opened->Message_ == Notice);
  CHECK_FALSE(Both.B_.open(Datagram));
  CHECK(Both.B_.lastReason() == "replay");
}

TEST_CASE("every altered or cut datagram is refused") {
  Pair Both;
  const auto Datagram = Both.A_.seal(Notice);
  for (std::size_t I = 0; I < Datagram.size(); ++I) {
    auto Altered = Datagram;
    Altered[I] ^= std::byte{0x10};
    CHECK_FALSE(Both.B_.open(Altered));
    CHECK_FALSE(Both.B_.open(std::span(Datagram).first(I)));
  }
  CHECK(Both.B_.open(Datagram));
}

TEST_CASE(
    "messages may cross but an old one outside of the window is refused") {
  Pair Both;
  const auto First = Both.A_.seal(Notice);
  const auto Second = Both.A_.seal(Notice);
  const auto Third = Both.A_.seal(Notice);
  CHECK(Both.B_.open(Third));
  CHECK(Both.B_.open(Second));
  for (int I = 0; I < 1022; ++I)
    CHECK(Both.B_.open(Both.A_.seal(Notice)));
  CHECK_FALSE(Both.B_.open(First));
  CHECK(Both.B_.lastReason() == "replay");
}

TEST_CASE("a stale incarnation is refused after a newer one was heard") {
  Pair Both;
  const auto Old = Both.A_.seal(Notice);
  Both.A_.renew(Incarnation(11));
  CHECK(Both.B_.open(Both.A_.seal(Notice)));
  CHECK_FALSE(Both.B_.open(Old));
  CHECK(Both.B_.lastReason() == "incarnation");
}

TEST_CASE(
    "a message is good for the clock bound only, also at a new receiver") {
  Pair Both;
  const auto Datagram = Both.A_.seal(Notice);
  Both.Time_->advance(ClockBound + Seconds(2));
  CHECK_FALSE(Both.B_.open(Datagram));
  CHECK(Both.B_.lastReason() == "clock");
}

TEST_CASE("a key is rotated without a refused message") {
  Pair Both;
  Sealer Old(EntryName("c"), Incarnation(1), KeyRing({key(1, 5)}),
             Clock(Both.Time_));
  Sealer Behind(EntryName("d"), Incarnation(1), KeyRing({key(1, 5), key(2, 6)}),
                Clock(Both.Time_));
  Sealer Before(EntryName("e"), Incarnation(1), KeyRing({key(2, 6), key(1, 5)}),
                Clock(Both.Time_));
  Sealer New(EntryName("f"), Incarnation(1), KeyRing({key(2, 6)}),
             Clock(Both.Time_));
  CHECK(Behind.open(Old.seal(Notice)));
  CHECK(Old.open(Behind.seal(Notice)));
  CHECK(Behind.open(Before.seal(Notice)));
  CHECK(Before.open(Behind.seal(Notice)));
  CHECK(New.open(Before.seal(Notice)));
  CHECK_FALSE(Old.open(New.seal(Notice)));
  CHECK(Old.lastReason() == "signature");
}

TEST_CASE("a later run of a name has a higher incarnation") {
  Random Source(7);
  const WallTime Start(Millis(1'800'000'000'000));
  for (int I = 0; I < 100; ++I)
    CHECK(drawIncarnation(Start, Source) <
          drawIncarnation(Start + Millis(1), Source));
}
