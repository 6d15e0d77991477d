#include <medlarmoor/wire/codec.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace medlarmoor;
using namespace medlarmoor::wire;

namespace {

MemberUpdate update(const std::string &Name) {
  return {EntryName(Name), Ipv4(0x7F010203), Incarnation(77), 4,
          Phase::Suspected};
}

std::vector<Envelope> samples() {
  const Heartbeat Beat{Ipv4(0x7F000001),  ViewId(~0ULL),
                       ConfigVersion(12), 3,
                       Phase::Live,       {update("b"), update("c")}};
  const FlowUpdate Flows{{std::byte{0}, std::byte{255}, std::byte{7}}};
  const std::vector<Message> Messages{
      Beat,           LeaveNotice{},
      Flows,          ConfigNotice{ConfigVersion(9), true},
      TableRequest{}, MemberTable{{update("d")}}};
  std::vector<Envelope> Envelopes;
  Envelopes.reserve(Messages.size());
  for (const Message &Sample : Messages)
    Envelopes.push_back({EntryName("seeb-1"), Incarnation(1ULL << 60U), 5,
                         1'800'000'000, Sample});
  return Envelopes;
}

std::vector<std::byte> encoded(const Envelope &Original) {
  std::vector<std::byte> Bytes;
  encode(Original, Bytes);
  return Bytes;
}

} // namespace

TEST_CASE("each message is decoded as it was encoded") {
  std::string Reason;
  for (const Envelope &Sample : samples())
    CHECK(decode(encoded(Sample), Reason) == Sample);
}

TEST_CASE("truncated and extended messages are rejected with a reason") {
  for (const Envelope &Sample : samples()) {
    const std::vector<std::byte> Complete = encoded(Sample);
    for (std::size_t Size = 0; Size < Complete.size(); ++Size) {
      std::string Reason;
      CHECK_FALSE(decode(std::span(Complete).first(Size), Reason));
      CHECK_FALSE(Reason.empty());
    }
    std::vector<std::byte> Longer = Complete;
    Longer.push_back(std::byte{0});
    std::string Reason;
    CHECK_FALSE(decode(Longer, Reason));
  }
}

TEST_CASE("surplus fields, invalid names and deep nesting are rejected") {
  std::string Reason;
  // [ "a", 1, 1, 1, 1, 0 ]: a leave notice has no field.
  const unsigned char Surplus[] = {0x86, 0x61, 'a', 1, 1, 1, 1, 0};
  CHECK_FALSE(decode(std::as_bytes(std::span(Surplus)), Reason));
  CHECK(Reason == "envelope has 6 fields, expected 5");
  Envelope Named = samples().front();
  Named.From_ = EntryName("a b\n");
  CHECK_FALSE(decode(encoded(Named), Reason));
  CHECK(Reason == "envelope field 1 is not a valid name");
  const std::vector<std::byte> Deep(60'000, std::byte{0x81});
  CHECK_FALSE(decode(Deep, Reason));
}

TEST_CASE(
    "altered bytes are either rejected or decode to a message that can be "
    "encoded and decoded again") {
  const std::vector<Envelope> Samples = samples();
  CHECK(rc::check("mutated messages", [&Samples] {
    std::vector<std::byte> Bytes =
        encoded(Samples[*rc::gen::inRange<std::size_t>(0, Samples.size())]);
    const auto Changes = *rc::gen::inRange(1, 8);
    for (int I = 0; I < Changes; ++I) {
      const auto At = *rc::gen::inRange<std::size_t>(0, Bytes.size());
      Bytes[At] = std::byte{*rc::gen::arbitrary<std::uint8_t>()};
    }
    std::string Reason;
    if (const auto Decoded = decode(Bytes, Reason))
      RC_ASSERT(decode(encoded(*Decoded), Reason) == Decoded);
  }));
}
