#include <medlarmoor/wire/incarnation.hpp>
#include <medlarmoor/wire/sealer.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::wire;

namespace {

config::SharedKey key(std::uint8_t Id, unsigned char Fill) {
  return {Id, std::vector<std::byte>(32, std::byte{Fill})};
}

/// Two entries with the same key and the same clock.
struct Entries {
  std::shared_ptr<ManualClock> Time_ = std::make_shared<ManualClock>();
  Sealer Sender_{EntryName("a"), Incarnation(10), KeyRing({key(1, 5)}),
                 Clock(Time_)};
  Sealer Receiver_{EntryName("b"), Incarnation(20), KeyRing({key(1, 5)}),
                   Clock(Time_)};
};

const Message Notice = ConfigNotice{ConfigVersion(3)};

} // namespace

TEST_CASE("a signed message identifies its sender and is accepted once") {
  Entries Peers;
  const auto Datagram = Peers.Sender_.seal(Notice);
  const auto Opened = Peers.Receiver_.open(Datagram);
  REQUIRE(Opened);
  CHECK(Opened->From_ == EntryName("a"));
  CHECK(Opened->Incarnation_ == Incarnation(10));
  CHECK(Opened->Message_ == Notice);
  CHECK_FALSE(Peers.Receiver_.open(Datagram));
  CHECK(Peers.Receiver_.lastReason() == "replay");
}

TEST_CASE("an altered or truncated datagram is refused") {
  Entries Peers;
  const auto Datagram = Peers.Sender_.seal(Notice);
  for (std::size_t I = 0; I < Datagram.size(); ++I) {
    auto Altered = Datagram;
    Altered[I] ^= std::byte{0x10};
    CHECK_FALSE(Peers.Receiver_.open(Altered));
    CHECK_FALSE(Peers.Receiver_.open(std::span(Datagram).first(I)));
  }
  CHECK(Peers.Receiver_.open(Datagram));
}

TEST_CASE("reordered messages are accepted within the window and refused "
          "outside it") {
  Entries Peers;
  const auto First = Peers.Sender_.seal(Notice);
  const auto Second = Peers.Sender_.seal(Notice);
  const auto Third = Peers.Sender_.seal(Notice);
  CHECK(Peers.Receiver_.open(Third));
  CHECK(Peers.Receiver_.open(Second));
  for (int I = 0; I < 1022; ++I)
    CHECK(Peers.Receiver_.open(Peers.Sender_.seal(Notice)));
  CHECK_FALSE(Peers.Receiver_.open(First));
  CHECK(Peers.Receiver_.lastReason() == "replay");
}

TEST_CASE("an outdated incarnation is refused once a newer one was received") {
  Entries Peers;
  const auto Outdated = Peers.Sender_.seal(Notice);
  Peers.Sender_.setIncarnation(Incarnation(11));
  CHECK(Peers.Receiver_.open(Peers.Sender_.seal(Notice)));
  CHECK_FALSE(Peers.Receiver_.open(Outdated));
  CHECK(Peers.Receiver_.lastReason() == "incarnation");
}

TEST_CASE(
    "a message older than the maximum clock skew is refused, also by a new "
    "receiver") {
  Entries Peers;
  const auto Datagram = Peers.Sender_.seal(Notice);
  Peers.Time_->advance(MaxClockSkew + Seconds(2));
  CHECK_FALSE(Peers.Receiver_.open(Datagram));
  CHECK(Peers.Receiver_.lastReason() == "clock");
}

TEST_CASE("a key rotation refuses no message in either step") {
  Entries Peers;
  Sealer OldOnly(EntryName("c"), Incarnation(1), KeyRing({key(1, 5)}),
                 Clock(Peers.Time_));
  Sealer OldFirst(EntryName("d"), Incarnation(1),
                  KeyRing({key(1, 5), key(2, 6)}), Clock(Peers.Time_));
  Sealer NewFirst(EntryName("e"), Incarnation(1),
                  KeyRing({key(2, 6), key(1, 5)}), Clock(Peers.Time_));
  Sealer NewOnly(EntryName("f"), Incarnation(1), KeyRing({key(2, 6)}),
                 Clock(Peers.Time_));
  CHECK(OldFirst.open(OldOnly.seal(Notice)));
  CHECK(OldOnly.open(OldFirst.seal(Notice)));
  CHECK(OldFirst.open(NewFirst.seal(Notice)));
  CHECK(NewFirst.open(OldFirst.seal(Notice)));
  CHECK(NewOnly.open(NewFirst.seal(Notice)));
  CHECK_FALSE(OldOnly.open(NewOnly.seal(Notice)));
  CHECK(OldOnly.lastReason() == "signature");
}

TEST_CASE("a later run under the same name has a higher incarnation") {
  Random Source(7);
  const WallTime Start(Millis(1'800'000'000'000));
  for (int I = 0; I < 100; ++I)
    CHECK(drawIncarnation(Start, Source) <
          drawIncarnation(Start + Millis(1), Source));
}
