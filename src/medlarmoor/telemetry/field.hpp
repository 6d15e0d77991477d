#ifndef MEDLARMOOR_TELEMETRY_FIELD_HPP
#define MEDLARMOOR_TELEMETRY_FIELD_HPP

#include <concepts>
#include <string>
#include <string_view>

namespace medlarmoor::telemetry {

/// One key=value pair of a log line.
struct Field {
  Field(std::string_view Key, std::string_view Value)
      : Key_(Key), Value_(Value) {}
  Field(std::string_view Key, const char *Value) : Key_(Key), Value_(Value) {}
  Field(std::string_view Key, const std::string &Value)
      : Key_(Key), Value_(Value) {}
  template <typename T>
  requires std::integral<T> || std::floating_point<T>
  Field(std::string_view Key, T Value)
      : Key_(Key), Value_(std::to_string(Value)) {}

  std::string Key_;
  std::string Value_;
};

} // namespace medlarmoor::telemetry

#endif // MEDLARMOOR_TELEMETRY_FIELD_HPP
