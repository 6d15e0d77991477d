#include <medlarmoor/request/key_parts.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace medlarmoor::request {

namespace {

constexpr std::size_t LongestKey = 128;

bool isWordChar(char C) {
  return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'z') ||
         (C >= 'A' && C <= 'Z') || C == '_' || C == '.' || C == '-';
}

} // namespace

std::optional<KeyParts> parseKey(const IdempotencyKey &Key) {
  const std::string_view Text = Key.value();
  if (Text.size() > LongestKey ||
      !std::all_of(Text.begin(), Text.end(), isWordChar))
    return std::nullopt;
  const std::size_t Last = Text.rfind('-');
  if (Last == std::string_view::npos || Last == 0 || Last + 1 == Text.size())
    return std::nullopt;
  const std::size_t Middle = Text.rfind('-', Last - 1);
  if (Middle == std::string_view::npos || Middle == 0)
    return std::nullopt;
  std::int64_t Minted = 0;
  const char *End = Text.data() + Last;
  const auto Read = std::from_chars(Text.data() + Middle + 1, End, Minted);
  if (Read.ec != std::errc() || Read.ptr != End || Minted < 0)
    return std::nullopt;
  return KeyParts{DomainName(std::string(Text.substr(0, Middle))),
                  WallTime(Millis(Minted))};
}

IdempotencyKey mintKey(const DomainName &Domain, WallTime Now, Random &Source) {
  return IdempotencyKey(Domain.value() + "-" +
                        std::to_string(Now.time_since_epoch().count()) + "-" +
                        std::to_string(Source()));
}

} // namespace medlarmoor::request
