#include <medlarmoor/request/key_parts.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace medlarmoor::request {

namespace {

constexpr std::size_t MaxKeyLength = 128;

bool isKeyChar(char C) {
  return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'z') ||
         (C >= 'A' && C <= 'Z') || C == '_' || C == '.' || C == '-';
}

} // namespace

std::optional<KeyParts> parseKey(const IdempotencyKey &Key) {
  const std::string_view Text = Key.value();
  if (Text.size() > MaxKeyLength ||
      !std::all_of(Text.begin(), Text.end(), isKeyChar))
    return std::nullopt;
  const std::size_t LastDash = Text.rfind('-');
  if (LastDash == std::string_view::npos || LastDash == 0 ||
      LastDash + 1 == Text.size())
    return std::nullopt;
  const std::size_t PreviousDash = Text.rfind('-', LastDash - 1);
  if (PreviousDash == std::string_view::npos || PreviousDash == 0)
    return std::nullopt;
  std::int64_t Minted = 0;
  const char *End = Text.data() + LastDash;
  const auto Parsed =
      std::from_chars(Text.data() + PreviousDash + 1, End, Minted);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Minted < 0)
    return std::nullopt;
  return KeyParts{DomainName(std::string(Text.substr(0, PreviousDash))),
                  WallTime(Millis(Minted))};
}

IdempotencyKey mintKey(const DomainName &Domain, WallTime Now,
                       Random &Generator) {
  return IdempotencyKey(Domain.value() + "-" +
                        std::to_string(Now.time_since_epoch().count()) + "-" +
                        std::to_string(Generator()));
}

} // namespace medlarmoor::request
