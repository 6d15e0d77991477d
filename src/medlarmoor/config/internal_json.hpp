#ifndef MEDLARMOOR_CONFIG_INTERNAL_JSON_HPP
#define MEDLARMOOR_CONFIG_INTERNAL_JSON_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace medlarmoor::config::internal {

using Json = nlohmann::json;

/// The one text of a JSON value: sorted keys, no spaces.
[[nodiscard]] inline std::string canonical(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// The member Key of an object, or null.
[[nodiscard]] inline const Json *member(const Json &In, const char *Key) {
  if (!In.is_object())
    return nullptr;
  const auto At = In.find(Key);
  return At == In.end() ? nullptr : &*At;
}

/// The text at Key; nothing when there is none.
[[nodiscard]] inline std::optional<std::string> textAt(const Json &In,
                                                       const char *Key) {
  const Json *Value = member(In, Key);
  if (!Value || !Value->is_string())
    return std::nullopt;
  return Value->get<std::string>();
}

/// The whole number at Key, not greater than Greatest; nothing otherwise.
[[nodiscard]] inline std::optional<std::uint64_t>
unsignedAt(const Json &In, const char *Key,
           std::uint64_t Greatest = std::numeric_limits<std::uint64_t>::max()) {
  const Json *Value = member(In, Key);
  if (!Value || !Value->is_number_unsigned())
    return std::nullopt;
  const auto Out = Value->get<std::uint64_t>();
  return Out <= Greatest ? std::optional(Out) : std::nullopt;
}

} // namespace medlarmoor::config::internal

#endif // MEDLARMOOR_CONFIG_INTERNAL_JSON_HPP
