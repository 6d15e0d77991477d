#include <medlarmoor/wire/http_seal.hpp>

#include <array>
#include <charconv>
#include <vector>

namespace medlarmoor::wire {

namespace {

constexpr std::string_view FormatVersion = "1";
constexpr char Separator = ';';
constexpr std::size_t FieldCount = 7;
constexpr std::size_t MaxHeaderBytes = 256;

/// Returns the bytes that the MAC covers. Each part is preceded by its length,
/// so that two different messages never yield the same bytes.
std::vector<std::byte> signedBytes(std::string_view SignedFields,
                                   std::string_view Method,
                                   std::string_view Target,
                                   std::string_view Body) {
  std::vector<std::byte> Bytes;
  Bytes.reserve(SignedFields.size() + Method.size() + Target.size() +
                Body.size() + 32);
  for (const std::string_view Part : {SignedFields, Method, Target, Body}) {
    for (unsigned Shift = 0; Shift < 64; Shift += 8)
      Bytes.push_back(static_cast<std::byte>(
          (static_cast<std::uint64_t>(Part.size()) >> Shift) & 0xFFU));
    const auto *First = reinterpret_cast<const std::byte *>(Part.data());
    Bytes.insert(Bytes.end(), First, First + Part.size());
  }
  return Bytes;
}

std::string toHex(std::span<const std::byte> Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Hex;
  for (const std::byte Byte : Bytes) {
    const auto Value = std::to_integer<unsigned>(Byte);
    Hex += Digits[Value >> 4U];
    Hex += Digits[Value & 0xFU];
  }
  return Hex;
}

template <typename T>
std::optional<T> readNumber(std::string_view Text, int Base = 10) {
  T Value{};
  const char *End = Text.data() + Text.size();
  const auto [ParseEnd, Error] = std::from_chars(Text.data(), End, Value, Base);
  if (Error != std::errc() || ParseEnd != End)
    return std::nullopt;
  return Value;
}

std::optional<Mac> readMac(std::string_view Text) {
  if (Text.size() != 2 * MacBytes)
    return std::nullopt;
  Mac Decoded;
  for (std::size_t I = 0; I < MacBytes; ++I) {
    const auto Value = readNumber<std::uint8_t>(Text.substr(2 * I, 2), 16);
    if (!Value)
      return std::nullopt;
    Decoded[I] = std::byte{*Value};
  }
  return Decoded;
}

/// The fields of a header value; SignedFields_ is the text before the MAC.
struct ParsedHeader {
  std::string_view SignedFields_;
  EntryName From_;
  std::uint8_t Key_ = 0;
  Incarnation Run_;
  std::uint64_t Sequence_ = 0;
  std::uint64_t SentSeconds_ = 0;
  Mac Mac_{};
};

std::optional<std::array<std::string_view, FieldCount>>
split(std::string_view Header) {
  std::array<std::string_view, FieldCount> Fields;
  for (std::size_t I = 0; I + 1 < FieldCount; ++I) {
    const std::size_t End = Header.find(Separator);
    if (End == std::string_view::npos)
      return std::nullopt;
    Fields[I] = Header.substr(0, End);
    Header.remove_prefix(End + 1);
  }
  Fields[FieldCount - 1] = Header;
  return Fields;
}

std::optional<ParsedHeader> parse(std::string_view Header) {
  if (Header.size() > MaxHeaderBytes)
    return std::nullopt;
  const auto Fields = split(Header);
  if (!Fields || (*Fields)[0] != FormatVersion)
    return std::nullopt;
  const auto Key = readNumber<std::uint8_t>((*Fields)[1]);
  const auto Run = readNumber<std::uint64_t>((*Fields)[3]);
  const auto Sequence = readNumber<std::uint64_t>((*Fields)[4]);
  const auto Sent = readNumber<std::uint64_t>((*Fields)[5]);
  const auto Claimed = readMac((*Fields)[6]);
  if (!Key || !Run || !Sequence || !Sent || !Claimed)
    return std::nullopt;
  return ParsedHeader{Header.substr(0, Header.rfind(Separator)),
                      EntryName(std::string((*Fields)[2])),
                      *Key,
                      Incarnation(*Run),
                      *Sequence,
                      *Sent,
                      *Claimed};
}

} // namespace

HttpSeal::HttpSeal(EntryName Self, Incarnation Run, KeyRing Keys, Clock Time)
    : Self_(std::move(Self)), Run_(Run), Keys_(std::move(Keys)), Time_(Time),
      Guard_(std::move(Time)) {}

std::string HttpSeal::sign(std::string_view Method, std::string_view Target,
                           std::string_view Body) {
  const std::optional<std::uint8_t> Key = Keys_.signingId();
  if (!Key)
    return {};
  const auto Sent =
      std::chrono::duration_cast<Seconds>(Time_.wallNow().time_since_epoch());
  std::string SignedFields(FormatVersion);
  SignedFields += Separator + std::to_string(*Key);
  SignedFields += Separator + Self_.value();
  SignedFields += Separator + std::to_string(Run_.value());
  SignedFields += Separator + std::to_string(++Sequence_);
  SignedFields += Separator + std::to_string(Sent.count());
  const auto Signature =
      Keys_.mac(*Key, signedBytes(SignedFields, Method, Target, Body));
  return Signature ? SignedFields + Separator + toHex(*Signature)
                   : std::string();
}

std::optional<EntryName> HttpSeal::verify(std::string_view Header,
                                          std::string_view Method,
                                          std::string_view Target,
                                          std::string_view Body) {
  std::optional<ParsedHeader> Parsed = parse(Header);
  if (!Parsed)
    return refuse("malformed");
  if (!Keys_.verify(Parsed->Key_,
                    signedBytes(Parsed->SignedFields_, Method, Target, Body),
                    Parsed->Mac_))
    return refuse("signature");
  if (!Guard_.admit(Parsed->From_, Parsed->Run_, Parsed->Sequence_,
                    Parsed->SentSeconds_))
    return refuse(Guard_.lastReason());
  return std::move(Parsed->From_);
}

std::nullopt_t HttpSeal::refuse(std::string Reason) {
  Reason_ = std::move(Reason);
  return std::nullopt;
}

} // namespace medlarmoor::wire
