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

/// Reports a malformed field; decode() catches it.
struct BadField : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Accepts one level of arrays more than the deepest message has and rejects
/// deeper nesting, so that hostile input cannot exhaust the stack of the
/// parser.
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

/// Returns true if Text is a valid entry name. Names are printed and written to
/// JSON, so they consist of ASCII letters, digits, '-', '_' and '.' only.
bool isName(const std::string &Text) {
  const auto IsAllowed = [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
           (C >= '0' && C <= '9') || C == '-' || C == '_' || C == '.';
  };
  return !Text.empty() && Text.size() <= MaxNameBytes &&
         std::all_of(Text.begin(), Text.end(), IsAllowed);
}

/// Reads the fields of one CBOR array in order. Error messages name the array
/// by ArrayName and count its fields from 1.
class Reader {
public:
  Reader(const Json &Array, const char *ArrayName)
      : Array_(Array), ArrayName_(ArrayName) {
    if (!Array.is_array())
      throw BadField(std::string(ArrayName) + " is not an array");
  }

  const Json &next() {
    if (FieldsRead_ == Array_.size())
      throw BadField(std::string(ArrayName_) + " ends after " +
                     std::to_string(FieldsRead_) + " fields");
    return Array_[FieldsRead_++];
  }

  std::uint64_t number(std::uint64_t Max) {
    const Json &Field = next();
    if (!Field.is_number_unsigned())
      throw BadField(std::string(ArrayName_) + " field " +
                     std::to_string(FieldsRead_) +
                     " is not an unsigned integer");
    const auto Value = Field.get<std::uint64_t>();
    if (Value > Max)
      throw BadField(
          std::string(ArrayName_) + " field " + std::to_string(FieldsRead_) +
          " is " + std::to_string(Value) + ", maximum " + std::to_string(Max));
    return Value;
  }

  EntryName name() {
    const Json &Field = next();
    if (!Field.is_string())
      throw BadField(std::string(ArrayName_) + " field " +
                     std::to_string(FieldsRead_) + " is not a text string");
    const auto &Text = Field.get_ref<const std::string &>();
    if (!isName(Text))
      throw BadField(std::string(ArrayName_) + " field " +
                     std::to_string(FieldsRead_) + " is not a valid name");
    return EntryName(Text);
  }

  void end() const {
    if (FieldsRead_ != Array_.size())
      throw BadField(std::string(ArrayName_) + " has " +
                     std::to_string(Array_.size()) + " fields, expected " +
                     std::to_string(FieldsRead_));
  }

private:
  const Json &Array_;
  const char *ArrayName_;
  std::size_t FieldsRead_ = 0;
};

constexpr std::uint64_t MaxUint64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t MaxUint32 = std::numeric_limits<std::uint32_t>::max();

Phase readPhase(Reader &From) {
  return static_cast<Phase>(From.number(static_cast<std::uint64_t>(LastPhase)));
}

Json write(const MemberUpdate &Update) {
  return Json::array({Update.Name_.value(), Update.Address_.value(),
                      Update.Incarnation_.value(), Update.Generation_,
                      static_cast<unsigned>(Update.Phase_)});
}

MemberUpdate readMemberUpdate(const Json &Array) {
  Reader From(Array, "member update");
  MemberUpdate Update;
  Update.Name_ = From.name();
  Update.Address_ = Ipv4(static_cast<std::uint32_t>(From.number(MaxUint32)));
  Update.Incarnation_ = Incarnation(From.number(MaxUint64));
  Update.Generation_ = static_cast<std::uint32_t>(From.number(MaxUint32));
  Update.Phase_ = readPhase(From);
  From.end();
  return Update;
}

Json writeAll(const std::vector<MemberUpdate> &Updates) {
  Json Array = Json::array();
  for (const MemberUpdate &Update : Updates)
    Array.push_back(write(Update));
  return Array;
}

std::vector<MemberUpdate> readMemberUpdates(const Json &Array) {
  if (!Array.is_array() || Array.size() > MaxMemberUpdates)
    throw BadField("member updates are not an array of at most " +
                   std::to_string(MaxMemberUpdates) + " elements");
  std::vector<MemberUpdate> Updates;
  for (const Json &Item : Array)
    Updates.push_back(readMemberUpdate(Item));
  return Updates;
}

/// Appends the fields of one message to Array_, which already holds the type
/// number.
struct FieldWriter {
  Json &Array_;

  void operator()(const Heartbeat &Beat) const {
    Array_.push_back(Beat.Address_.value());
    Array_.push_back(Beat.View_.value());
    Array_.push_back(Beat.Config_.value());
    Array_.push_back(Beat.Generation_);
    Array_.push_back(static_cast<unsigned>(Beat.Phase_));
    Array_.push_back(writeAll(Beat.Updates_));
  }
  void operator()(const LeaveNotice &) const {}
  void operator()(const FlowUpdate &Update) const {
    std::vector<std::uint8_t> Bytes;
    Bytes.reserve(Update.Bytes_.size());
    for (const std::byte Byte : Update.Bytes_)
      Bytes.push_back(std::to_integer<std::uint8_t>(Byte));
    Array_.push_back(Json::binary(std::move(Bytes)));
  }
  void operator()(const ConfigNotice &Notice) const {
    Array_.push_back(Notice.Version_.value());
    Array_.push_back(Notice.PlatformLost_ ? 1U : 0U);
  }
  void operator()(const TableRequest &) const {}
  void operator()(const MemberTable &Table) const {
    Array_.push_back(writeAll(Table.Members_));
  }
};

Heartbeat readHeartbeat(Reader &From) {
  Heartbeat Beat;
  Beat.Address_ = Ipv4(static_cast<std::uint32_t>(From.number(MaxUint32)));
  Beat.View_ = ViewId(From.number(MaxUint64));
  Beat.Config_ = ConfigVersion(From.number(MaxUint64));
  Beat.Generation_ = static_cast<std::uint32_t>(From.number(MaxUint32));
  Beat.Phase_ = readPhase(From);
  Beat.Updates_ = readMemberUpdates(From.next());
  return Beat;
}

FlowUpdate readFlowUpdate(Reader &From) {
  const Json &Field = From.next();
  if (!Field.is_binary())
    throw BadField("flow update is not a byte string");
  FlowUpdate Update;
  Update.Bytes_.reserve(Field.get_binary().size());
  for (const std::uint8_t Byte : Field.get_binary())
    Update.Bytes_.push_back(std::byte{Byte});
  return Update;
}

Message readMessage(Reader &From) {
  static_assert(std::variant_size_v<Message> == 6);
  switch (From.number(std::variant_size_v<Message> - 1)) {
  case 0:
    return readHeartbeat(From);
  case 1:
    return LeaveNotice{};
  case 2:
    return readFlowUpdate(From);
  case 3:
    return ConfigNotice{ConfigVersion(From.number(MaxUint64)),
                        From.number(1) != 0};
  case 4:
    return TableRequest{};
  default:
    return MemberTable{readMemberUpdates(From.next())};
  }
}

Envelope readEnvelope(const Json &Array) {
  Reader From(Array, "envelope");
  Envelope Result;
  Result.From_ = From.name();
  Result.Incarnation_ = Incarnation(From.number(MaxUint64));
  Result.Sequence_ = From.number(MaxUint64);
  Result.SentSeconds_ = From.number(MaxUint64);
  Result.Message_ = readMessage(From);
  From.end();
  return Result;
}

} // namespace

void encode(const Envelope &Envelope, std::vector<std::byte> &Buffer) {
  Json Array = Json::array({Envelope.From_.value(),
                            Envelope.Incarnation_.value(), Envelope.Sequence_,
                            Envelope.SentSeconds_, Envelope.Message_.index()});
  std::visit(FieldWriter{Array}, Envelope.Message_);
  std::vector<std::uint8_t> Bytes;
  Json::to_cbor(Array, Bytes);
  for (const std::uint8_t Byte : Bytes)
    Buffer.push_back(std::byte{Byte});
}

std::optional<Envelope> decode(std::span<const std::byte> Bytes,
                               std::string &Reason) {
  const auto *First = reinterpret_cast<const std::uint8_t *>(Bytes.data());
  NestingCheck Check;
  if (!Json::sax_parse(First, First + Bytes.size(), &Check,
                       Json::input_format_t::cbor)) {
    Reason =
        "malformed CBOR, a map, or an array with too many levels or fields";
    return std::nullopt;
  }
  const Json Array =
      Json::from_cbor(First, First + Bytes.size(), /*strict=*/true,
                      /*allow_exceptions=*/false);
  if (Array.is_discarded()) {
    Reason = "not a valid CBOR value";
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
