#ifndef MEDLARMOOR_NET_INTERNAL_HTTP_HPP
#define MEDLARMOOR_NET_INTERNAL_HTTP_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/net/http_headers.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>

namespace medlarmoor::net::internal {

/// The Asio form of Where.
[[nodiscard]] inline boost::asio::ip::tcp::endpoint toTcp(Endpoint Where) {
  return {boost::asio::ip::address_v4(Where.address().value()), Where.port()};
}

/// Copies Beast's fields into plain headers.
[[nodiscard]] inline HttpHeaders
copyFields(const boost::beast::http::fields &Fields) {
  HttpHeaders Out;
  for (const auto &Field : Fields)
    Out.add(std::string(Field.name_string()), std::string(Field.value()));
  return Out;
}

/// Puts plain headers into Beast's fields.
inline void putFields(const HttpHeaders &Headers,
                      boost::beast::http::fields &Fields) {
  for (const auto &[Name, Value] : Headers)
    Fields.set(Name, Value);
}

} // namespace medlarmoor::net::internal

#endif // MEDLARMOOR_NET_INTERNAL_HTTP_HPP
