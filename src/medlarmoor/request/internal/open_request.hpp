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

/// One submission with its body, from its arrival until it is answered.
struct OpenRequest {
  explicit OpenRequest(asio::io_context &Io)
      : VerdictTimer_(Io, asio::steady_timer::time_point::max()) {}

  Submission Submission_;
  std::string Body_;
  /// The span of this entry in the trace of the request.
  telemetry::TraceContext Trace_;
  /// Null once the caller has left.
  CallerStream Caller_;
  /// Close the caller's connection after the answer.
  bool CloseConnection_ = false;
  /// Relaying of an answer to the caller has started.
  bool AnswerStarted_ = false;
  /// The answer ended early after AnswerStarted_ was set.
  bool AnswerTruncated_ = false;
  /// The dispatcher no longer waits for the answer to the current attempt.
  bool Abandoned_ = false;
  std::optional<Verdict> Verdict_;
  /// The complete answer, if none of it has been sent to the caller yet.
  std::optional<net::HttpResponse> CompleteAnswer_;
  /// The connection of the attempt in flight, or null.
  ConnectionPtr UpstreamConnection_;
  /// Cancelled when Verdict_ is set or the caller has left.
  asio::steady_timer VerdictTimer_;
};
using OpenRequestPtr = std::shared_ptr<OpenRequest>;

} // namespace medlarmoor::request::internal

#endif // MEDLARMOOR_REQUEST_INTERNAL_OPEN_REQUEST_HPP
