#ifndef MEDLARMOOR_NET_HTTP_REQUEST_HPP
#define MEDLARMOOR_NET_HTTP_REQUEST_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/net/http_headers.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace medlarmoor::net {

/// A whole HTTP/1.1 request.
struct HttpRequest {
  std::string Method_ = "GET";
  /// Path and query as sent, for example "/v1/objects/part/a?ifVersion=3".
  std::string Target_ = "/";
  HttpHeaders Headers_;
  std::string Body_;
  /// Whom a server has it from; not used by a client.
  Endpoint From_{};

  /// The target up to the question mark, percent escapes not decoded.
  [[nodiscard]] std::string_view path() const noexcept;
  /// The value of one query parameter, percent escapes decoded.
  [[nodiscard]] std::optional<std::string> query(std::string_view Name) const;
};

} // namespace medlarmoor::net

#endif // MEDLARMOOR_NET_HTTP_REQUEST_HPP
