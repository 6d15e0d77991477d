#include <medlarmoor/peers/announcement_codec.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace medlarmoor::peers {

namespace {

using Json = nlohmann::json;

/// First element of each announcement; a different layout has a different
/// number. Additional fields after the known ones are ignored.
constexpr unsigned LayoutVersion = 4;
/// Number of fields that each announcement has.
constexpr std::size_t FieldCount = 11;
/// Index of the optional field about evacuations. An instance that reads them
/// and has no list yet sends null, one that does not read them omits the field
/// or sends false.
constexpr std::size_t EvacuationsField = 11;
/// Position of the load, which messages of earlier versions do not have.
constexpr std::size_t LoadField = 12;
/// Deepest nesting that is decoded; announcements have less.
constexpr std::size_t MaxDepth = 16;
/// Upper bound of ages: one day, in milliseconds.
constexpr std::uint64_t MaxAgeMs = 86'400'000;

/// Ends the parsing at a nesting that is too deep. The decoder calls itself for
/// each level, so that a datagram could exhaust the stack.
class DepthLimit : public nlohmann::json_sax<Json> {
public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t &) override { return true; }
  bool string(string_t &) override { return true; }
  bool binary(binary_t &) override { return true; }
  bool key(string_t &) override { return true; }
  bool start_object(std::size_t) override { return enter(); }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t) override { return enter(); }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t, const std::string &,
                   const Json::exception &) override {
    return false;
  }

private:
  bool enter() noexcept { return ++Depth_ <= MaxDepth; }
  bool leave() noexcept {
    --Depth_;
    return true;
  }

  std::size_t Depth_ = 0;
};

Json packEndpoint(Endpoint Packed) {
  return Json::array({Packed.address().value(), Packed.port()});
}

Endpoint readEndpoint(const Json &Source) {
  return {Ipv4(Source.at(0).get<std::uint32_t>()),
          Source.at(1).get<std::uint16_t>()};
}

/// Reads an age. Negative numbers, which would make data more recent than it
/// is, become the maximum age.
Millis readAge(const Json &Source) {
  return Millis(std::min(Source.get<std::uint64_t>(), MaxAgeMs));
}

Json packRevision(StoreRevision Packed) {
  return Json::array({Packed.Epoch_.value(), Packed.Number_});
}

StoreRevision readRevision(const Json &Source) {
  return {StoreEpoch(Source.at(0).get<std::uint64_t>()),
          Source.at(1).get<std::uint64_t>()};
}

Json packState(const std::optional<CollectionState> &State) {
  if (!State)
    return nullptr;
  return Json::array({packRevision(State->Revision_),
                      packRevision(State->LastChange_), State->Age_.count(),
                      packEndpoint(State->Reader_)});
}

std::optional<CollectionState> readState(const Json &Source) {
  if (Source.is_null())
    return std::nullopt;
  return CollectionState{readRevision(Source.at(0)), readRevision(Source.at(1)),
                         readAge(Source.at(2)), readEndpoint(Source.at(3))};
}

/// Returns true for an array of unsigned integers, the first one up to
/// FirstLimit and the second one up to SecondLimit.
bool isPair(const Json &Source, std::uint64_t FirstLimit,
            std::uint64_t SecondLimit) {
  return Source.is_array() && Source.size() >= 2 &&
         Source[0].is_number_unsigned() && Source[1].is_number_unsigned() &&
         Source[0].get<std::uint64_t>() <= FirstLimit &&
         Source[1].get<std::uint64_t>() <= SecondLimit;
}

/// Returns true if readState() can read the value without loss.
bool isState(const Json &Source) {
  constexpr std::uint64_t MaxNumber = std::numeric_limits<std::uint64_t>::max();
  return Source.is_array() && Source.size() >= 4 &&
         isPair(Source[0], MaxNumber, MaxNumber) &&
         isPair(Source[1], MaxNumber, MaxNumber) &&
         Source[2].is_number_unsigned() &&
         isPair(Source[3], std::numeric_limits<std::uint32_t>::max(),
                std::numeric_limits<std::uint16_t>::max());
}

/// Reads the field about evacuations. A value of another kind does not spoil
/// the announcement: the sender may run another version.
void readEvacuations(const Json &Source, Announcement &Parsed) {
  if (Source.size() <= EvacuationsField || Source[EvacuationsField] == false)
    return;
  const Json &Field = Source[EvacuationsField];
  Parsed.EvacuationsMalformed_ = !Field.is_null() && !isState(Field);
  if (Parsed.EvacuationsMalformed_)
    return;
  Parsed.ReadsEvacuations_ = true;
  Parsed.Evacuations_ = readState(Field);
}

Json packMember(const Member &Packed) {
  return Json::array({packEndpoint(Packed.Address_), Packed.Domain_.value(),
                      Packed.Age_.count()});
}

Member readMember(const Json &Source) {
  return {readEndpoint(Source.at(0)),
          DomainName(Source.at(1).get<std::string>()), readAge(Source.at(2))};
}

Json packLoad(const std::vector<placement::UpstreamLoad> &Load) {
  Json Packed = Json::array();
  for (const placement::UpstreamLoad &Reported : Load)
    Packed.push_back(
        Json::array({Reported.Upstream_.value(), Reported.Tenths_}));
  return Packed;
}

/// Returns the number, or no value if it is not an integer from 1 to Max.
std::optional<std::uint32_t> readCount(const Json &Source, std::uint32_t Max) {
  if (!Source.is_number_unsigned())
    return std::nullopt;
  const auto Number = Source.get<std::uint64_t>();
  if (Number == 0 || Number > Max)
    return std::nullopt;
  return static_cast<std::uint32_t>(Number);
}

/// Returns the load, or no value if any part of it is malformed: a part of a
/// report would make the upstreams that it lacks appear idle.
std::optional<std::vector<placement::UpstreamLoad>>
readLoad(const Json &Source) {
  using placement::UpstreamLoad;
  if (!Source.is_array() || Source.size() > UpstreamLoad::MaxReported)
    return std::nullopt;
  std::vector<UpstreamLoad> Load;
  for (const Json &Element : Source) {
    if (!Element.is_array() || Element.size() != 2)
      return std::nullopt;
    const auto Tag =
        readCount(Element[0], std::numeric_limits<std::uint32_t>::max());
    const auto Tenths = readCount(Element[1], UpstreamLoad::MaxTenths);
    if (!Tag || !Tenths)
      return std::nullopt;
    Load.push_back({affinity::Tag(*Tag), *Tenths});
  }
  return Load;
}

Announcement read(const Json &Source) {
  Announcement Parsed;
  Parsed.From_ = readEndpoint(Source.at(1));
  Parsed.Domain_ = DomainName(Source.at(2).get<std::string>());
  Parsed.Upstreams_ = readState(Source.at(3));
  Parsed.Routes_ = readState(Source.at(4));
  if (!Source.at(5).is_null())
    Parsed.StoreRecovered_ = readAge(Source.at(5));
  for (const Json &Element : Source.at(6))
    Parsed.Members_.push_back(readMember(Element));
  for (const Json &Element : Source.at(9))
    Parsed.Reports_.Unanswered_.emplace_back(Element.get<std::uint32_t>());
  Parsed.RouteVersion_ = ConfigVersion(Source.at(10).get<std::uint64_t>());
  Parsed.KnownMembers_ = Source.at(8).get<std::size_t>();
  for (const Json &Element : Source.at(7))
    Parsed.Reports_.Suspects_.push_back(
        {affinity::Tag(Element.at(0).get<std::uint32_t>()),
         Element.at(1).get<unsigned>()});
  readEvacuations(Source, Parsed);
  if (Source.size() > LoadField && !Source[LoadField].is_null()) {
    Parsed.Load_ = readLoad(Source[LoadField]);
    Parsed.LoadMalformed_ = !Parsed.Load_;
  }
  return Parsed;
}

} // namespace

std::vector<std::byte> encode(const Announcement &Message) {
  Json Members = Json::array();
  for (const Member &Sampled : Message.Members_)
    Members.push_back(packMember(Sampled));
  Json Suspects = Json::array();
  for (const placement::Suspect &Suspect : Message.Reports_.Suspects_)
    Suspects.push_back(
        Json::array({Suspect.Upstream_.value(), Suspect.ExcessPercent_}));
  Json Unanswered = Json::array();
  for (const affinity::Tag Upstream : Message.Reports_.Unanswered_)
    Unanswered.push_back(Upstream.value());
  Json Fields = Json::array(
      {LayoutVersion, packEndpoint(Message.From_), Message.Domain_.value(),
       packState(Message.Upstreams_), packState(Message.Routes_),
       Message.StoreRecovered_ ? Json(Message.StoreRecovered_->count())
                               : Json(),
       Members, Suspects, Message.KnownMembers_, Unanswered,
       Message.RouteVersion_.value()});
  if (Message.ReadsEvacuations_)
    Fields.push_back(packState(Message.Evacuations_));
  if (Message.Load_) {
    if (!Message.ReadsEvacuations_)
      Fields.push_back(false);
    Fields.push_back(packLoad(*Message.Load_));
  }
  std::vector<std::byte> Bytes;
  for (const std::uint8_t Byte : Json::to_cbor(Fields))
    Bytes.push_back(static_cast<std::byte>(Byte));
  return Bytes;
}

std::optional<Announcement> decode(std::span<const std::byte> Bytes) {
  const auto *First = reinterpret_cast<const std::uint8_t *>(Bytes.data());
  DepthLimit Limit;
  if (!Json::sax_parse(First, First + Bytes.size(), &Limit,
                       Json::input_format_t::cbor, false))
    return std::nullopt;
  try {
    // Throws for an array size that exceeds the memory even if exceptions are
    // disabled.
    const Json Source =
        Json::from_cbor(First, First + Bytes.size(), true, false);
    if (!Source.is_array() || Source.size() < FieldCount ||
        Source[0] != LayoutVersion)
      return std::nullopt;
    return read(Source);
  } catch (const Json::exception &) {
    // The datagram is not an announcement; the caller counts it.
    return std::nullopt;
  }
}

} // namespace medlarmoor::peers
