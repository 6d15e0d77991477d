#ifndef MEDLARMOOR_NET_HTTP_RESPONSE_HPP
#define MEDLARMOOR_NET_HTTP_RESPONSE_HPP

#include <medlarmoor/net/http_headers.hpp>

#include <string>

namespace medlarmoor::net {

/// A whole HTTP/1.1 response.
struct HttpResponse {
  unsigned Status_ = 200;
  HttpHeaders Headers_;
  std::string Body_;
};

} // namespace medlarmoor::net

#endif // MEDLARMOOR_NET_HTTP_RESPONSE_HPP
