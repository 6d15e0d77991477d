#include <medlarmoor/wire/codec.hpp>
#include <medlarmoor/wire/sealer.hpp>

namespace medlarmoor::wire {

namespace {

constexpr std::byte FormatVersion{1};
constexpr std::size_t HeaderBytes = 2;

} // namespace

Sealer::Sealer(EntryName Self, Incarnation Run, KeyRing Keys, Clock Time)
    : Self_(std::move(Self)), Run_(Run), Keys_(std::move(Keys)), Time_(Time),
      Guard_(std::move(Time)) {}

std::vector<std::byte> Sealer::seal(const Message &Payload) {
  const std::optional<std::uint8_t> Key = Keys_.signingId();
  if (!Key)
    return {};
  const auto Sent =
      std::chrono::duration_cast<Seconds>(Time_.wallNow().time_since_epoch());
  std::vector<std::byte> Datagram{FormatVersion, std::byte{*Key}};
  encode({Self_, Run_, ++Sequence_, static_cast<std::uint64_t>(Sent.count()),
          Payload},
         Datagram);
  const std::optional<Mac> Signature = Keys_.mac(*Key, Datagram);
  if (!Signature)
    return {};
  Datagram.insert(Datagram.end(), Signature->begin(), Signature->end());
  return Datagram;
}

std::optional<Incoming> Sealer::open(std::span<const std::byte> Datagram) {
  if (Datagram.size() < HeaderBytes + MacBytes)
    return refuse("short");
  if (Datagram[0] != FormatVersion)
    return refuse("version");
  const auto Signed = Datagram.first(Datagram.size() - MacBytes);
  if (!Keys_.verify(std::to_integer<std::uint8_t>(Datagram[1]), Signed,
                    Datagram.last(MacBytes)))
    return refuse("signature");
  std::string DecodeError;
  std::optional<Envelope> Opened =
      decode(Signed.subspan(HeaderBytes), DecodeError);
  if (!Opened)
    return refuse("decode");
  if (Opened->From_ == Self_)
    return refuse("own");
  if (!Guard_.admit(Opened->From_, Opened->Incarnation_, Opened->Sequence_,
                    Opened->SentSeconds_)) {
    refuse(Guard_.lastReason());
    if (Reason_ == "incarnation")
      StaleSender_ = std::move(Opened->From_);
    return std::nullopt;
  }
  return Incoming{std::move(Opened->From_), std::move(Opened->Message_),
                  Opened->Incarnation_};
}

void Sealer::setIncarnation(Incarnation Run) {
  Run_ = Run;
  Sequence_ = 0;
}

std::nullopt_t Sealer::refuse(std::string Reason) {
  Reason_ = std::move(Reason);
  StaleSender_ = EntryName();
  return std::nullopt;
}

} // namespace medlarmoor::wire
