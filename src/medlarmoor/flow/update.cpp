#include <medlarmoor/flow/flow_id.hpp>
#include <medlarmoor/flow/update.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace medlarmoor::flow {

namespace {

using Json = nlohmann::json;
using Bytes = std::vector<std::uint8_t>;

constexpr unsigned ByteBits = 8;
constexpr std::size_t ServiceBytes = 4;
constexpr std::size_t HashBytes = FlowHashBits / ByteBits;
constexpr std::size_t UpstreamBytes = 2;
constexpr std::size_t CountBytes = 3;
constexpr std::uint32_t MostCount = (1U << (CountBytes * ByteBits)) - 1;
constexpr std::size_t LargestGroup = std::numeric_limits<std::uint8_t>::max();

void put(Bytes &Out, std::uint64_t Value, std::size_t Size) {
  for (std::size_t I = 0; I < Size; ++I)
    Out.push_back(static_cast<std::uint8_t>(Value >> (I * ByteBits)));
}

/// Reads packed numbers; once it has run out it stays failed.
class Reader {
public:
  explicit Reader(const Bytes &Data) : Data_(Data) {}

  std::uint64_t get(std::size_t Size) {
    if (Data_.size() - At_ < Size) {
      Failed_ = true;
      At_ = Data_.size();
      return 0;
    }
    std::uint64_t Value = 0;
    for (std::size_t I = 0; I < Size; ++I)
      Value |= std::uint64_t{Data_[At_++]} << (I * ByteBits);
    return Value;
  }
  [[nodiscard]] bool more() const noexcept { return At_ < Data_.size(); }
  [[nodiscard]] bool failed() const noexcept { return Failed_; }

private:
  const Bytes &Data_;
  std::size_t At_ = 0;
  bool Failed_ = false;
};

/// Packs items in groups of one service each; One packs the rest of an item.
template <typename Item, typename ServiceOf, typename Pack>
Bytes packGroups(std::vector<Item> Items, ServiceOf Service, Pack One) {
  std::sort(Items.begin(), Items.end());
  Bytes Out;
  for (std::size_t At = 0; At < Items.size();) {
    std::size_t End = At;
    while (End < Items.size() && End - At < LargestGroup &&
           Service(Items[End]) == Service(Items[At]))
      ++End;
    put(Out, Service(Items[At]), ServiceBytes);
    put(Out, End - At, 1);
    for (; At < End; ++At)
      One(Out, Items[At]);
  }
  return Out;
}

/// Calls One(Service, Reader) for each packed item; false for cut-off bytes.
template <typename Unpack> bool unpackGroups(const Json &Packed, Unpack One) {
  Reader In(Packed.get_binary());
  while (In.more() && !In.failed()) {
    const auto Service = static_cast<std::uint32_t>(In.get(ServiceBytes));
    const std::uint64_t Count = In.get(1);
    for (std::uint64_t I = 0; I < Count && !In.failed(); ++I)
      One(Service, In);
  }
  return !In.failed();
}

Json placeJson(const StreamPlace &Place) {
  return Json::array({Place.Epoch_, Place.Sequence_});
}

StreamPlace placeOf(const Json &Value) {
  return {Value.at(0).get<std::uint32_t>(), Value.at(1).get<std::uint32_t>()};
}

void encodeFlows(Json &Out, const Update &From) {
  if (!From.Exceptions_.empty())
    Out["x"] = Json::binary(packGroups(
        From.Exceptions_,
        [](const WireException &E) { return E.Flow_.Service_; },
        [](Bytes &To, const WireException &E) {
          put(To, E.Flow_.Hash_, HashBytes);
          put(To, E.Upstream_, UpstreamBytes);
        }));
  if (!From.Ended_.empty())
    Out["e"] = Json::binary(packGroups(
        From.Ended_, [](const WireFlow &E) { return E.Service_; },
        [](Bytes &To, const WireFlow &E) { put(To, E.Hash_, HashBytes); }));
  if (!From.Counts_.empty())
    Out["c"] = Json::binary(packGroups(
        From.Counts_, [](const WireCount &E) { return E.Service_; },
        [](Bytes &To, const WireCount &E) {
          put(To, E.Upstream_, UpstreamBytes);
          put(To, std::min(E.Open_, MostCount), CountBytes);
        }));
}

bool decodeFlows(const Json &In, Update &To) {
  bool Whole = true;
  if (In.contains("x"))
    Whole &= unpackGroups(In["x"], [&](std::uint32_t Service, Reader &From) {
      const std::uint64_t Hash = From.get(HashBytes);
      const auto Upstream = static_cast<std::uint16_t>(From.get(UpstreamBytes));
      To.Exceptions_.push_back({{Service, Hash}, Upstream});
    });
  if (In.contains("e"))
    Whole &= unpackGroups(In["e"], [&](std::uint32_t Service, Reader &From) {
      To.Ended_.push_back({Service, From.get(HashBytes)});
    });
  if (In.contains("c"))
    Whole &= unpackGroups(In["c"], [&](std::uint32_t Service, Reader &From) {
      const auto Upstream = static_cast<std::uint16_t>(From.get(UpstreamBytes));
      const auto Open = static_cast<std::uint32_t>(From.get(CountBytes));
      To.Counts_.push_back({Service, Upstream, Open});
    });
  return Whole;
}

void decodeMarks(const Json &In, Update &To) {
  if (In.contains("s"))
    To.Place_ = placeOf(In["s"]);
  if (In.contains("a"))
    To.Acknowledged_ = placeOf(In["a"]);
  if (In.contains("r"))
    To.Relays_ = In["r"].get<std::uint8_t>();
  if (In.contains("q"))
    To.Claim_ = ViewId(In["q"].get<std::uint64_t>());
  if (In.contains("g"))
    To.Grant_ = Grant{ViewId(In["g"].at(0).get<std::uint64_t>()),
                      In["g"].at(1).get<bool>()};
  if (In.contains("l"))
    To.Left_ = Leave{ViewId(In["l"].at(0).get<std::uint64_t>()),
                     In["l"].at(1).get<bool>()};
}

} // namespace

std::vector<std::byte> Update::encode() const {
  Json Out = Json::object();
  if (Place_)
    Out["s"] = placeJson(*Place_);
  if (Acknowledged_)
    Out["a"] = placeJson(*Acknowledged_);
  if (Relays_ > 0)
    Out["r"] = Relays_;
  if (Claim_)
    Out["q"] = Claim_->value();
  if (Grant_)
    Out["g"] = Json::array({Grant_->View_.value(), Grant_->Joining_});
  if (Left_)
    Out["l"] = Json::array({Left_->View_.value(), Left_->ToReceiver_});
  encodeFlows(Out, *this);
  const Bytes Packed = Json::to_cbor(Out);
  const auto *First = reinterpret_cast<const std::byte *>(Packed.data());
  return {First, First + Packed.size()};
}

std::optional<Update> Update::decode(std::span<const std::byte> Packed) {
  const auto *First = reinterpret_cast<const std::uint8_t *>(Packed.data());
  const Json In = Json::from_cbor(First, First + Packed.size(), true, false);
  if (!In.is_object())
    return std::nullopt;
  Update Out;
  try {
    decodeMarks(In, Out);
    if (!decodeFlows(In, Out))
      return std::nullopt;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
  return Out;
}

} // namespace medlarmoor::flow
