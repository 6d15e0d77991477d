#ifndef MEDLARMOOR_HARNESS_TEXT_HPP
#define MEDLARMOOR_HARNESS_TEXT_HPP

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarmoor::harness {

/// The parts of Text between the separators, empty parts left out.
[[nodiscard]] inline std::vector<std::string> split(std::string_view Text,
                                                    char Separator) {
  std::vector<std::string> Out;
  while (!Text.empty()) {
    const std::string_view Part = Text.substr(0, Text.find(Separator));
    if (!Part.empty())
      Out.emplace_back(Part);
    Text.remove_prefix(std::min(Text.size(), Part.size() + 1));
  }
  return Out;
}

/// The names between the slashes of a path.
[[nodiscard]] inline std::vector<std::string> splitPath(std::string_view Path) {
  return split(Path, '/');
}

/// The number that Text holds; nothing when it holds none.
[[nodiscard]] inline std::optional<std::uint64_t>
toNumber(const std::optional<std::string> &Text) {
  if (!Text)
    return std::nullopt;
  std::uint64_t Out = 0;
  const char *End = Text->data() + Text->size();
  const auto [Stop, Failed] = std::from_chars(Text->data(), End, Out);
  if (Failed != std::errc() || Stop != End)
    return std::nullopt;
  return Out;
}

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_TEXT_HPP
