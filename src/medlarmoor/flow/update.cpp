#include <medlarmoor/flow/flow_id.hpp>
#include <medlarmoor/flow/update.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace medlarmoor::flow {

namespace {

using Json = nlohmann::json;
using ByteString = std::vector<std::uint8_t>;

constexpr unsigned ByteBits = 8;
constexpr std::size_t ServiceBytes = 4;
constexpr std::size_t HashBytes = FlowHashBits / ByteBits;
constexpr std::size_t UpstreamBytes = 2;
constexpr std::size_t CountBytes = 3;
constexpr std::uint32_t MaxCount = (1U << (CountBytes * ByteBits)) - 1;
/// A group's size is sent in one byte.
constexpr std::size_t MaxGroupItems = std::numeric_limits<std::uint8_t>::max();

/// Appends the low Size bytes of Value in little-endian order.
void append(ByteString &Target, std::uint64_t Value, std::size_t Size) {
  for (std::size_t I = 0; I < Size; ++I)
    Target.push_back(static_cast<std::uint8_t>(Value >> (I * ByteBits)));
}

/// Reads the numbers that append() wrote. After a read past the end, failed()
/// remains true and further reads return 0.
class Reader {
public:
  explicit Reader(const ByteString &Data) : Data_(Data) {}

  std::uint64_t read(std::size_t Size) {
    if (Data_.size() - Offset_ < Size) {
      Failed_ = true;
      Offset_ = Data_.size();
      return 0;
    }
    std::uint64_t Value = 0;
    for (std::size_t I = 0; I < Size; ++I)
      Value |= std::uint64_t{Data_[Offset_++]} << (I * ByteBits);
    return Value;
  }
  [[nodiscard]] bool hasMore() const noexcept { return Offset_ < Data_.size(); }
  [[nodiscard]] bool failed() const noexcept { return Failed_; }

private:
  const ByteString &Data_;
  std::size_t Offset_ = 0;
  bool Failed_ = false;
};

/// Packs items in groups of one service each. ServiceOf returns the service of
/// an item; PackItem appends the rest of the item.
template <typename Item, typename ServiceFunction, typename PackFunction>
ByteString packGroups(std::vector<Item> Items, ServiceFunction ServiceOf,
                      PackFunction PackItem) {
  std::sort(Items.begin(), Items.end());
  ByteString Packed;
  for (std::size_t Next = 0; Next < Items.size();) {
    std::size_t End = Next;
    while (End < Items.size() && End - Next < MaxGroupItems &&
           ServiceOf(Items[End]) == ServiceOf(Items[Next]))
      ++End;
    append(Packed, ServiceOf(Items[Next]), ServiceBytes);
    append(Packed, End - Next, 1);
    for (; Next < End; ++Next)
      PackItem(Packed, Items[Next]);
  }
  return Packed;
}

/// Calls UnpackItem(Service, Reader) for each packed item. Returns false if the
/// bytes are truncated.
template <typename UnpackFunction>
bool unpackGroups(const Json &Packed, UnpackFunction UnpackItem) {
  Reader Source(Packed.get_binary());
  while (Source.hasMore() && !Source.failed()) {
    const auto Service = static_cast<std::uint32_t>(Source.read(ServiceBytes));
    const std::uint64_t Count = Source.read(1);
    for (std::uint64_t I = 0; I < Count && !Source.failed(); ++I)
      UnpackItem(Service, Source);
  }
  return !Source.failed();
}

Json encodePosition(const StreamPosition &Position) {
  return Json::array({Position.Epoch_, Position.Sequence_});
}

StreamPosition decodePosition(const Json &Value) {
  return {Value.at(0).get<std::uint32_t>(), Value.at(1).get<std::uint32_t>()};
}

void encodeFlows(Json &Fields, const Update &Source) {
  if (!Source.Overrides_.empty())
    Fields["x"] = Json::binary(packGroups(
        Source.Overrides_,
        [](const WireOverride &Override) { return Override.Flow_.Service_; },
        [](ByteString &Packed, const WireOverride &Override) {
          append(Packed, Override.Flow_.Hash_, HashBytes);
          append(Packed, Override.Upstream_, UpstreamBytes);
        }));
  if (!Source.Ended_.empty())
    Fields["e"] = Json::binary(packGroups(
        Source.Ended_, [](const WireFlow &Flow) { return Flow.Service_; },
        [](ByteString &Packed, const WireFlow &Flow) {
          append(Packed, Flow.Hash_, HashBytes);
        }));
  if (!Source.Counts_.empty())
    Fields["c"] = Json::binary(packGroups(
        Source.Counts_, [](const WireCount &Count) { return Count.Service_; },
        [](ByteString &Packed, const WireCount &Count) {
          append(Packed, Count.Upstream_, UpstreamBytes);
          append(Packed, std::min(Count.Open_, MaxCount), CountBytes);
        }));
}

/// Returns false if some packed flows or counts are truncated.
bool decodeFlows(const Json &Fields, Update &Target) {
  bool Complete = true;
  if (Fields.contains("x"))
    Complete &=
        unpackGroups(Fields["x"], [&](std::uint32_t Service, Reader &Source) {
          const std::uint64_t Hash = Source.read(HashBytes);
          const auto Upstream =
              static_cast<std::uint16_t>(Source.read(UpstreamBytes));
          Target.Overrides_.push_back({{Service, Hash}, Upstream});
        });
  if (Fields.contains("e"))
    Complete &=
        unpackGroups(Fields["e"], [&](std::uint32_t Service, Reader &Source) {
          Target.Ended_.push_back({Service, Source.read(HashBytes)});
        });
  if (Fields.contains("c"))
    Complete &=
        unpackGroups(Fields["c"], [&](std::uint32_t Service, Reader &Source) {
          const auto Upstream =
              static_cast<std::uint16_t>(Source.read(UpstreamBytes));
          const auto Open = static_cast<std::uint32_t>(Source.read(CountBytes));
          Target.Counts_.push_back({Service, Upstream, Open});
        });
  return Complete;
}

/// Decodes all fields but the packed flows and counts.
void decodeControl(const Json &Fields, Update &Target) {
  if (Fields.contains("s"))
    Target.Position_ = decodePosition(Fields["s"]);
  if (Fields.contains("a"))
    Target.Acknowledged_ = decodePosition(Fields["a"]);
  if (Fields.contains("r"))
    Target.Relays_ = Fields["r"].get<std::uint8_t>();
  if (Fields.contains("q"))
    Target.Claim_ = ViewId(Fields["q"].get<std::uint64_t>());
  if (Fields.contains("g"))
    Target.Grant_ = Grant{ViewId(Fields["g"].at(0).get<std::uint64_t>()),
                          Fields["g"].at(1).get<bool>()};
  if (Fields.contains("l"))
    Target.Leave_ = LeaveNotice{ViewId(Fields["l"].at(0).get<std::uint64_t>()),
                                Fields["l"].at(1).get<bool>()};
}

} // namespace

std::vector<std::byte> Update::encode() const {
  Json Fields = Json::object();
  if (Position_)
    Fields["s"] = encodePosition(*Position_);
  if (Acknowledged_)
    Fields["a"] = encodePosition(*Acknowledged_);
  if (Relays_ > 0)
    Fields["r"] = Relays_;
  if (Claim_)
    Fields["q"] = Claim_->value();
  if (Grant_)
    Fields["g"] = Json::array({Grant_->View_.value(), Grant_->SenderJoining_});
  if (Leave_)
    Fields["l"] = Json::array({Leave_->View_.value(), Leave_->ToReceiver_});
  encodeFlows(Fields, *this);
  const ByteString Cbor = Json::to_cbor(Fields);
  const auto *First = reinterpret_cast<const std::byte *>(Cbor.data());
  return {First, First + Cbor.size()};
}

std::optional<Update> Update::decode(std::span<const std::byte> Cbor) {
  const auto *First = reinterpret_cast<const std::uint8_t *>(Cbor.data());
  Update Decoded;
  try {
    // Throws for an array size that exceeds the memory even if exceptions are
    // disabled.
    const Json Fields =
        Json::from_cbor(First, First + Cbor.size(), true, false);
    if (!Fields.is_object())
      return std::nullopt;
    decodeControl(Fields, Decoded);
    if (!decodeFlows(Fields, Decoded))
      return std::nullopt;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
  return Decoded;
}

} // namespace medlarmoor::flow
