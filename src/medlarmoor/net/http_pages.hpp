#ifndef MEDLARMOOR_NET_HTTP_PAGES_HPP
#define MEDLARMOOR_NET_HTTP_PAGES_HPP

#include <medlarmoor/net/http_response.hpp>

#include <string>

namespace medlarmoor::net {

/// A response whose body is plain text, in the version that scrapers of
/// metrics expect.
[[nodiscard]] HttpResponse textPage(std::string Text, unsigned Status = 200);
/// A response whose body is JSON.
[[nodiscard]] HttpResponse jsonPage(std::string Text, unsigned Status = 200);

} // namespace medlarmoor::net

#endif // MEDLARMOOR_NET_HTTP_PAGES_HPP
