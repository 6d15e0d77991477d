#ifndef MEDLARMOOR_REQUEST_INTERNAL_EXCHANGE_HPP
#define MEDLARMOOR_REQUEST_INTERNAL_EXCHANGE_HPP

#include <medlarmoor/net/http_response.hpp>
#include <medlarmoor/request/internal/connection_pool.hpp>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>
#include <string>

namespace medlarmoor::request::internal {

/// Bytes of an answer's body that are read before any is relayed. A shorter
/// answer is known to be complete before its caller receives a byte.
inline constexpr std::size_t ReadAheadBytes = 64U * 1024U;

/// An answer whose header has arrived and whose body may still be arriving.
struct Answer {
  ConnectionPtr Connection_;
  http::response_parser<http::buffer_body> Parser_;
  /// The first bytes of the body, up to ReadAheadBytes.
  std::string BodyPrefix_;
  /// BodyPrefix_ is the complete body.
  bool Complete_ = false;

  [[nodiscard]] unsigned status() const;
  /// Returns the value of a header, or an empty text if it is missing.
  [[nodiscard]] std::string header(std::string_view Name) const;
  /// Returns the answer as a plain message. Complete_ must be set.
  [[nodiscard]] net::HttpResponse message() const;
};
using AnswerPtr = std::shared_ptr<Answer>;

/// How a call ended.
enum class CallEnd : unsigned char { Answered, NotConnected, Failed };

/// The result of a call. Answer_ is set if the call was answered.
struct CallResult {
  CallEnd End_ = CallEnd::Failed;
  AnswerPtr Answer_;
};

/// Target and time limits of one call.
struct CallOptions {
  Endpoint Remote_;
  /// The header of the answer and the first ReadAheadBytes of its body must
  /// arrive by then.
  std::chrono::steady_clock::time_point Deadline_;
  /// Open a new connection instead of taking one from the pool.
  bool NewConnection_ = false;
  /// Time in which a connection from the pool must deliver the header of the
  /// answer; after that it counts as dead. Zero waits until the deadline.
  Nanos HeaderTimeout_{};
};

/// Sends Message and reads the header and the first bytes of its answer. InUse
/// holds the connection during the exchange, so that another coroutine can
/// close it.
[[nodiscard]] Awaitable<CallResult> call(ConnectionPool &Pool,
                                         CallOptions Options,
                                         const HttpMessage &Message,
                                         ConnectionPtr &InUse);

/// Streams the answer Source to Destination as it arrives, no faster than
/// Destination accepts it. If Destination is null, reads the rest of the
/// answer and discards it. Extra is added to the headers; with Close, the
/// response announces that the connection will be closed. Returns false if
/// the answer is truncated or Destination fails. Destination must then be
/// closed, so that its reader sees an incomplete answer.
[[nodiscard]] Awaitable<bool> relay(Answer &Source,
                                    beast::tcp_stream *Destination,
                                    const net::HttpHeaders &Extra, bool Close);

/// Writes a complete response. Returns false if Destination fails.
[[nodiscard]] Awaitable<bool> writeResponse(beast::tcp_stream &Destination,
                                            const net::HttpResponse &Response,
                                            bool Close);

} // namespace medlarmoor::request::internal

#endif // MEDLARMOOR_REQUEST_INTERNAL_EXCHANGE_HPP
