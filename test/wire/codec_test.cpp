#include <medlarmoor/wire/codec.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace medlarmoor;
using namespace medlarmoor::wire;

namespace {

MemberNews news(const std::string &Name) {
  return {EntryName(Name), Ipv4(0x7F010203), Incarnation(77), 4,
          Phase::Suspected};
}

std::vector<Envelope> samples() {
  const Heartbeat Beat{Ipv4(0x7F000001),  ViewId(~0ULL),
                       ConfigVersion(12), 3,
                       Phase::Live,       {news("b"), news("c")}};
  const FlowUpdate Update{{std::byte{0}, std::byte{255}, std::byte{7}}};
  const std::vector<Message> All{
      Beat,           Farewell{},
      Update,         ConfigNotice{ConfigVersion(9), true},
      TableRequest{}, MemberTable{{news("d")}}};
  std::vector<Envelope> Out;
  Out.reserve(All.size());
  for (const Message &Each : All)
    Out.push_back({EntryName("seeb-1"), Incarnation(1ULL << 60U), 5,
                   1'800'000'000, Each});
  return Out;
}

std::vector<std::byte> encoded(const Envelope &Each) {
  std::vector<std::byte> Out;
  encode(Each, Out);
  return Out;
}

} // namespace

TEST_CASE("each message is read back as it was written") {
  std::string Reason;
  for (const Envelope &Each : samples())
    CHECK(decode(encoded(Each), Reason) == Each);
}

TEST_CASE("cut and prolonged messages are refused with a reason") {
  for (const Envelope &Each : samples()) {
    const std::vector<std::byte> Whole = encoded(Each);
    for (std::size_t Size = 0; Size < Whole.size(); ++Size) {
      std::string Reason;
      CHECK_FALSE(decode(std::span(Whole).first(Size), Reason));
      CHECK_FALSE(Reason.empty());
    }
    std::vector<std::byte> Longer = Whole;
    Longer.push_back(std::byte{0});
    std::string Reason;
    CHECK_FALSE(decode(Longer, Reason));
  }
}

TEST_CASE("surplus fields, bad names and deep nesting are refused") {
  std::string Reason;
  // [ "a", 1, 1, 1, 1, 0 ]: a farewell has no field.
  const unsigned char Surplus[] = {0x86, 0x61, 'a', 1, 1, 1, 1, 0};
  CHECK_FALSE(decode(std::as_bytes(std::span(Surplus)), Reason));
  CHECK(Reason == "envelope has surplus fields");
  Envelope Named = samples().front();
  Named.From_ = EntryName("a b\n");
  CHECK_FALSE(decode(encoded(Named), Reason));
  CHECK(Reason == "envelope holds a bad name");
  const std::vector<std::byte> Deep(60'000, std::byte{0x81});
  CHECK_FALSE(decode(Deep, Reason));
}

TEST_CASE("any bytes are either refused or are a message that stands again") {
  const std::vector<Envelope> All = samples();
  CHECK(rc::check("mutated messages", [&All] {
    std::vector<std::byte> Bytes =
        encoded(All[*rc::gen::inRange<std::size_t>(0, All.size())]);
    const auto Changes = *rc::gen::inRange(1, 8);
    for (int I = 0; I < Changes; ++I) {
      const auto At = *rc::gen::inRange<std::size_t>(0, Bytes.size());
      Bytes[At] = std::byte{*rc::gen::arbitrary<std::uint8_t>()};
    }
    std::string Reason;
    if (const auto Read = decode(Bytes, Reason))
      RC_ASSERT(decode(encoded(*Read), Reason) == Read);
  }));
}
