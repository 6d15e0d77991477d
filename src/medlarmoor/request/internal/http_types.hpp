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

/// Returns the completion token for a co_await that stores its error in Failed
/// instead of throwing.
[[nodiscard]] inline auto storeError(Error &Failed) {
  return asio::redirect_error(asio::use_awaitable, Failed);
}

} // namespace medlarmoor::request::internal

#endif // MEDLARMOOR_REQUEST_INTERNAL_HTTP_TYPES_HPP
