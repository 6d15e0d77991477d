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

/// Bytes of an answer that are read before any is passed on. A shorter answer
/// is known to be whole before its caller sees a byte.
inline constexpr std::size_t ReadAheadBytes = 64U * 1024U;

/// An answer whose header has arrived and whose body may still be arriving.
struct Answer {
  ConnectionPtr From_;
  http::response_parser<http::buffer_body> Parser_;
  /// The first bytes of the body.
  std::string Head_;
  /// Nothing follows Head_.
  bool Whole_ = false;

  [[nodiscard]] unsigned status() const;
  [[nodiscard]] std::string field(std::string_view Name) const;
  /// The answer as a plain message; only when Whole_.
  [[nodiscard]] net::HttpResponse message() const;
};
using AnswerPtr = std::shared_ptr<Answer>;

/// How far a call came.
enum class CallEnd : unsigned char { Answered, NotConnected, Failed };

/// What a call brought.
struct CallResult {
  CallEnd End_ = CallEnd::Failed;
  AnswerPtr Answer_;
};

/// How to make one call.
struct CallPlan {
  Endpoint To_;
  /// The answer's head must be there by then.
  std::chrono::steady_clock::time_point Deadline_;
  /// Use a new connection.
  bool Fresh_ = false;
  /// How long a connection out of the pool may stay without a first byte
  /// before it counts as silent; zero waits until the deadline.
  Nanos Silence_{};
};

/// Sends Message and reads the head of its answer. Opened is set to the
/// connection in use, so that another coroutine can close it.
[[nodiscard]] Awaitable<CallResult> call(ConnectionPool &Pool, CallPlan Plan,
                                         const HttpMessage &Message,
                                         ConnectionPtr &Opened);

/// Reads the rest of From and passes all of it on to To as it comes, waiting
/// for To where that is slower; without To it reads the rest and drops it.
/// False when the answer was cut or To did not take it: To must then be closed
/// so that its reader sees an incomplete answer.
[[nodiscard]] Awaitable<bool> relay(Answer &From, beast::tcp_stream *To,
                                    const net::HttpHeaders &Extra, bool Close);

/// Writes a whole response; false when To did not take it.
[[nodiscard]] Awaitable<bool> writeWhole(beast::tcp_stream &To,
                                         const net::HttpResponse &Response,
                                         bool Close);

} // namespace medlarmoor::request::internal

#endif // MEDLARMOOR_REQUEST_INTERNAL_EXCHANGE_HPP
