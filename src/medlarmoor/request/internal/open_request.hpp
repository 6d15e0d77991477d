#ifndef MEDLARMOOR_REQUEST_INTERNAL_OPEN_REQUEST_HPP
#define MEDLARMOOR_REQUEST_INTERNAL_OPEN_REQUEST_HPP

#include <medlarmoor/net/http_response.hpp>
#include <medlarmoor/request/internal/connection_pool.hpp>
#include <medlarmoor/request/submission.hpp>
#include <medlarmoor/request/verdict.hpp>
#include <medlarmoor/telemetry/trace_context.hpp>

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace medlarmoor::request::internal {

/// The connection of a caller, or of the entry that forwards for one.
using CallerStream = std::shared_ptr<beast::tcp_stream>;

/// One submission with its body while its dispatcher works on it.
struct OpenRequest {
  explicit OpenRequest(asio::io_context &Io)
      : Ready_(Io, asio::steady_timer::time_point::max()) {}

  Submission Asked_;
  std::string Body_;
  /// The hop of this entry in the request's trace.
  telemetry::TraceContext Trace_;
  /// Null once the caller has left.
  CallerStream Caller_;
  bool Close_ = false;
  /// Bytes of an answer have gone to the caller.
  bool Started_ = false;
  /// The answer broke off after it had started.
  bool Cut_ = false;
  /// Nobody waits for the answer of the attempt any more.
  bool GaveUp_ = false;
  std::optional<Verdict> Verdict_;
  /// The whole answer, where none of it has gone to the caller yet.
  std::optional<net::HttpResponse> Whole_;
  /// The connection of the attempt that is on its way.
  ConnectionPtr Upstream_;
  /// Cancelled when Verdict_ is set.
  asio::steady_timer Ready_;
};
using OpenRequestPtr = std::shared_ptr<OpenRequest>;

} // namespace medlarmoor::request::internal

#endif // MEDLARMOOR_REQUEST_INTERNAL_OPEN_REQUEST_HPP
