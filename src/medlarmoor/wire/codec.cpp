#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/wire/codec.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <stdexcept>

namespace medlarmoor::wire {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxNameBytes = 64;

/// Thrown inside decode() only.
struct BadField : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Accepts one level of arrays more than the deepest message has, so that
/// hostile nesting cannot exhaust the stack of the parser.
class NestingCheck : public nlohmann::json_sax<Json> {
public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t &) override { return true; }
  bool string(string_t &) override { return true; }
  bool binary(binary_t &) override { return true; }
  bool start_object(std::size_t) override { return false; }
  bool key(string_t &) override { return false; }
  bool end_object() override { return false; }
  bool start_array(std::size_t Size) override {
    return ++Depth_ <= MaxDepth && (Size == AnySize || Size <= MaxFields);
  }
  bool end_array() override {
    --Depth_;
    return true;
  }
  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::detail::exception &) override {
    return false;
  }

private:
  static constexpr std::size_t MaxDepth = 4;
  static constexpr std::size_t MaxFields = 64;
  static constexpr std::size_t AnySize = static_cast<std::size_t>(-1);

  std::size_t Depth_ = 0;
};

/// Names are printed and put into JSON, so they hold plain letters only.
bool isName(const std::string &Text) {
  const auto Plain = [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
           (C >= '0' && C <= '9') || C == '-' || C == '_' || C == '.';
  };
  return !Text.empty() && Text.size() <= MaxNameBytes &&
         std::all_of(Text.begin(), Text.end(), Plain);
}

/// Takes the fields of one CBOR array one after the other.
class Reader {
public:
  Reader(const Json &Array, const char *What) : Array_(Array), What_(What) {
    if (!Array.is_array())
      throw BadField(std::string(What) + " is not an array");
  }

  const Json &next() {
    if (At_ == Array_.size())
      throw BadField(std::string(What_) + " lacks fields");
    return Array_[At_++];
  }

  std::uint64_t number(std::uint64_t Max) {
    const Json &Field = next();
    if (!Field.is_number_unsigned())
      throw BadField(std::string(What_) + " holds a wrong type");
    const auto Value = Field.get<std::uint64_t>();
    if (Value > Max)
      throw BadField(std::string(What_) + " holds a number out of range");
    return Value;
  }

  EntryName name() {
    const Json &Field = next();
    if (!Field.is_string())
      throw BadField(std::string(What_) + " holds a wrong type");
    const auto &Text = Field.get_ref<const std::string &>();
    if (!isName(Text))
      throw BadField(std::string(What_) + " holds a bad name");
    return EntryName(Text);
  }

  void end() const {
    if (At_ != Array_.size())
      throw BadField(std::string(What_) + " has surplus fields");
  }

private:
  const Json &Array_;
  const char *What_;
  std::size_t At_ = 0;
};

constexpr std::uint64_t Any64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t Any32 = std::numeric_limits<std::uint32_t>::max();

Phase readPhase(Reader &From) {
  return static_cast<Phase>(From.number(static_cast<std::uint64_t>(LastPhase)));
}

Json write(const MemberNews &Each) {
  return Json::array({Each.Name_.value(), Each.Address_.value(),
                      Each.Incarnation_.value(), Each.Generation_,
                      static_cast<unsigned>(Each.Phase_)});
}

MemberNews readNews(const Json &Array) {
  Reader From(Array, "member news");
  MemberNews Out;
  Out.Name_ = From.name();
  Out.Address_ = Ipv4(static_cast<std::uint32_t>(From.number(Any32)));
  Out.Incarnation_ = Incarnation(From.number(Any64));
  Out.Generation_ = static_cast<std::uint32_t>(From.number(Any32));
  Out.Phase_ = readPhase(From);
  From.end();
  return Out;
}

Json writeAll(const std::vector<MemberNews> &News) {
  Json Out = Json::array();
  for (const MemberNews &Each : News)
    Out.push_back(write(Each));
  return Out;
}

std::vector<MemberNews> readAllNews(const Json &Array) {
  if (!Array.is_array() || Array.size() > MaxNews)
    throw BadField("member news are not a short array");
  std::vector<MemberNews> Out;
  for (const Json &Each : Array)
    Out.push_back(readNews(Each));
  return Out;
}

/// Appends the fields of one message after its type number.
struct FieldWriter {
  Json &Out_;

  void operator()(const Heartbeat &Each) const {
    Out_.push_back(Each.Address_.value());
    Out_.push_back(Each.View_.value());
    Out_.push_back(Each.Config_.value());
    Out_.push_back(Each.Generation_);
    Out_.push_back(static_cast<unsigned>(Each.Phase_));
    Out_.push_back(writeAll(Each.News_));
  }
  void operator()(const Farewell &) const {}
  void operator()(const FlowUpdate &Each) const {
    std::vector<std::uint8_t> Bytes;
    Bytes.reserve(Each.Bytes_.size());
    for (const std::byte Byte : Each.Bytes_)
      Bytes.push_back(std::to_integer<std::uint8_t>(Byte));
    Out_.push_back(Json::binary(std::move(Bytes)));
  }
  void operator()(const ConfigNotice &Each) const {
    Out_.push_back(Each.Version_.value());
    Out_.push_back(Each.PlatformLost_ ? 1U : 0U);
  }
  void operator()(const TableRequest &) const {}
  void operator()(const MemberTable &Each) const {
    Out_.push_back(writeAll(Each.Members_));
  }
};

Heartbeat readHeartbeat(Reader &From) {
  Heartbeat Out;
  Out.Address_ = Ipv4(static_cast<std::uint32_t>(From.number(Any32)));
  Out.View_ = ViewId(From.number(Any64));
  Out.Config_ = ConfigVersion(From.number(Any64));
  Out.Generation_ = static_cast<std::uint32_t>(From.number(Any32));
  Out.Phase_ = readPhase(From);
  Out.News_ = readAllNews(From.next());
  return Out;
}

FlowUpdate readFlowUpdate(Reader &From) {
  const Json &Field = From.next();
  if (!Field.is_binary())
    throw BadField("flow update holds a wrong type");
  FlowUpdate Out;
  Out.Bytes_.reserve(Field.get_binary().size());
  for (const std::uint8_t Byte : Field.get_binary())
    Out.Bytes_.push_back(std::byte{Byte});
  return Out;
}

Message readMessage(Reader &From) {
  static_assert(std::variant_size_v<Message> == 6);
  switch (From.number(std::variant_size_v<Message> - 1)) {
  case 0:
    return readHeartbeat(From);
  case 1:
    return Farewell{};
  case 2:
    return readFlowUpdate(From);
  case 3:
    return ConfigNotice{ConfigVersion(From.number(Any64)), From.number(1) != 0};
  case 4:
    return TableRequest{};
  default:
    return MemberTable{readAllNews(From.next())};
  }
}

Envelope readEnvelope(const Json &Array) {
  Reader From(Array, "envelope");
  Envelope Out;
  Out.From_ = From.name();
  Out.Incarnation_ = Incarnation(From.number(Any64));
  Out.Sequence_ = From.number(Any64);
  Out.SentSeconds_ = From.number(Any64);
  Out.Message_ = readMessage(From);
  From.end();
  return Out;
}

} // namespace

void encode(const Envelope &Envelope, std::vector<std::byte> &Out) {
  Json Array = Json::array({Envelope.From_.value(),
                            Envelope.Incarnation_.value(), Envelope.Sequence_,
                            Envelope.SentSeconds_, Envelope.Message_.index()});
  std::visit(FieldWriter{Array}, Envelope.Message_);
  std::vector<std::uint8_t> Bytes;
  Json::to_cbor(Array, Bytes);
  for (const std::uint8_t Byte : Bytes)
    Out.push_back(std::byte{Byte});
}

std::optional<Envelope> decode(std::span<const std::byte> Bytes,
                               std::string &Reason) {
  const auto *First = reinterpret_cast<const std::uint8_t *>(Bytes.data());
  NestingCheck Check;
  if (!Json::sax_parse(First, First + Bytes.size(), &Check,
                       Json::input_format_t::cbor)) {
    Reason = "not a flat CBOR array";
    return std::nullopt;
  }
  const Json Array =
      Json::from_cbor(First, First + Bytes.size(), /*strict=*/true,
                      /*allow_exceptions=*/false);
  if (Array.is_discarded()) {
    Reason = "not a CBOR value";
    return std::nullopt;
  }
  try {
    return readEnvelope(Array);
  } catch (const BadField &Bad) {
    Reason = Bad.what();
    return std::nullopt;
  }
}

} // namespace medlarmoor::wire
