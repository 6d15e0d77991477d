#ifndef MEDLARMOOR_REQUEST_INTERNAL_HTTP_TYPES_HPP
#define MEDLARMOOR_REQUEST_INTERNAL_HTTP_TYPES_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace medlarmoor::request::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Error = boost::system::error_code;
using HttpMessage = http::request<http::string_body>;
template <typename T> using Awaitable = asio::awaitable<T>;

/// Lets a co_await return its error in Into in place of throwing.
[[nodiscard]] inline auto into(Error &Into) {
  return asio::redirect_error(asio::use_awaitable, Into);
}

} // namespace medlarmoor::request::internal

#endif // MEDLARMOOR_REQUEST_INTERNAL_HTTP_TYPES_HPP
