#ifndef MEDLARMOOR_CONFIG_INTERNAL_JSON_HPP
#define MEDLARMOOR_CONFIG_INTERNAL_JSON_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace medlarmoor::config::internal {

using Json = nlohmann::json;

/// Returns the canonical text of a JSON value: sorted keys and no spaces, so
/// that equal values have equal texts.
[[nodiscard]] inline std::string canonical(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Returns the member Key of Object, or null if Object has no such member or is
/// not an object.
[[nodiscard]] inline const Json *member(const Json &Object, const char *Key) {
  if (!Object.is_object())
    return nullptr;
  const auto Position = Object.find(Key);
  return Position == Object.end() ? nullptr : &*Position;
}

/// Returns the string at Key, or nullopt if there is none.
[[nodiscard]] inline std::optional<std::string> textAt(const Json &Object,
                                                       const char *Key) {
  const Json *Value = member(Object, Key);
  if (!Value || !Value->is_string())
    return std::nullopt;
  return Value->get<std::string>();
}

/// Returns the unsigned integer at Key, or nullopt if there is none or it is
/// greater than Max.
[[nodiscard]] inline std::optional<std::uint64_t>
unsignedAt(const Json &Object, const char *Key,
           std::uint64_t Max = std::numeric_limits<std::uint64_t>::max()) {
  const Json *Value = member(Object, Key);
  if (!Value || !Value->is_number_unsigned())
    return std::nullopt;
  const auto Number = Value->get<std::uint64_t>();
  return Number <= Max ? std::optional(Number) : std::nullopt;
}

} // namespace medlarmoor::config::internal

#endif // MEDLARMOOR_CONFIG_INTERNAL_JSON_HPP
