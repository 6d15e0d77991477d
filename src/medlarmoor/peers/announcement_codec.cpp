#include <medlarmoor/peers/announcement_codec.hpp>

#include <nlohmann/json.hpp>

namespace medlarmoor::peers {

namespace {

using Json = nlohmann::json;

/// First element of each announcement; another layout gets another number.
/// Fields behind those known here are ignored.
constexpr unsigned Layout = 2;
constexpr std::size_t Fields = 9;

Json packEndpoint(Endpoint Each) {
  return Json::array({Each.address().value(), Each.port()});
}

Endpoint readEndpoint(const Json &In) {
  return {Ipv4(In.at(0).get<std::uint32_t>()), In.at(1).get<std::uint16_t>()};
}

Json packState(const std::optional<CollectionState> &Each) {
  if (!Each)
    return nullptr;
  return Json::array({Each->Upto_, Each->Changed_, Each->Age_.count()});
}

std::optional<CollectionState> readState(const Json &In) {
  if (In.is_null())
    return std::nullopt;
  return CollectionState{In.at(0).get<std::uint64_t>(),
                         In.at(1).get<std::uint64_t>(),
                         Millis(In.at(2).get<std::int64_t>())};
}

Json packMember(const Member &Each) {
  return Json::array(
      {packEndpoint(Each.Address_), Each.Domain_.value(), Each.Age_.count()});
}

Member readMember(const Json &In) {
  return {readEndpoint(In.at(0)), DomainName(In.at(1).get<std::string>()),
          Millis(In.at(2).get<std::int64_t>())};
}

Announcement read(const Json &In) {
  Announcement Out;
  Out.From_ = readEndpoint(In.at(1));
  Out.Domain_ = DomainName(In.at(2).get<std::string>());
  Out.Reading_ = In.at(3).get<bool>();
  Out.Upstreams_ = readState(In.at(4));
  Out.Routes_ = readState(In.at(5));
  if (!In.at(6).is_null())
    Out.StoreReturned_ = Millis(In.at(6).get<std::int64_t>());
  for (const Json &Each : In.at(7))
    Out.Members_.push_back(readMember(Each));
  for (const Json &Each : In.at(8))
    Out.Suspects_.push_back({affinity::Tag(Each.at(0).get<std::uint32_t>()),
                             Each.at(1).get<unsigned>()});
  return Out;
}

} // namespace

std::vector<std::byte> encode(const Announcement &Each) {
  Json Members = Json::array();
  for (const Member &Other : Each.Members_)
    Members.push_back(packMember(Other));
  Json Suspects = Json::array();
  for (const placement::Suspect &Other : Each.Suspects_)
    Suspects.push_back(
        Json::array({Other.Upstream_.value(), Other.ExcessPercent_}));
  const Json Out = Json::array(
      {Layout, packEndpoint(Each.From_), Each.Domain_.value(), Each.Reading_,
       packState(Each.Upstreams_), packState(Each.Routes_),
       Each.StoreReturned_ ? Json(Each.StoreReturned_->count()) : Json(),
       Members, Suspects});
  std::vector<std::byte> Bytes;
  for (const std::uint8_t Byte : Json::to_cbor(Out))
    Bytes.push_back(static_cast<std::byte>(Byte));
  return Bytes;
}

std::optional<Announcement> decode(std::span<const std::byte> Bytes) {
  const auto *First = reinterpret_cast<const std::uint8_t *>(Bytes.data());
  const Json In = Json::from_cbor(First, First + Bytes.size(), true, false);
  if (!In.is_array() || In.size() < Fields || In[0] != Layout)
    return std::nullopt;
  try {
    return read(In);
  } catch (const Json::exception &) {
    // Not an announcement; the caller counts it.
    return std::nullopt;
  }
}

} // namespace medlarmoor::peers
