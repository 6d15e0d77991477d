#ifndef MEDLARMOOR_NET_HTTP_HEADERS_HPP
#define MEDLARMOOR_NET_HTTP_HEADERS_HPP

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace medlarmoor::net {

/// Header fields in the order in which they were sent.
class HttpHeaders {
public:
  void add(std::string Name, std::string Value);
  /// The first value of Name, compared without regard to case.
  [[nodiscard]] std::optional<std::string> find(std::string_view Name) const;
  [[nodiscard]] auto begin() const noexcept { return Fields_.begin(); }
  [[nodiscard]] auto end() const noexcept { return Fields_.end(); }

private:
  std::vector<std::pair<std::string, std::string>> Fields_;
};

} // namespace medlarmoor::net

#endif // MEDLARMOOR_NET_HTTP_HEADERS_HPP
