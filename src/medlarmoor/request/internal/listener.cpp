#include <medlarmoor/net/internal_http.hpp>
#include <medlarmoor/net/listen_on.hpp>
#include <medlarmoor/request/internal/listener.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>

namespace medlarmoor::request::internal {

namespace {

constexpr Millis IdleTimeout = Seconds(30);
/// Time from the header of a request to the end of its body.
constexpr Millis RequestTimeout = Seconds(30);
constexpr std::size_t MaxConnections = 4096;
constexpr std::size_t MaxHeaderBytes = 16U * 1024U;
/// Limit on the sum of all bodies that are being read or answered.
constexpr std::uint64_t MaxBodyBytes = 64U * 1024U * 1024U;
/// Delay after a failed accept, for example for lack of file descriptors.
constexpr Millis AcceptRetryDelay{20};

} // namespace

Listener::Listener(asio::io_context &Io, Endpoint Local, BodyLimit Limit,
                   RequestHandler Answer, TooLargeHandler Refuse)
    : Io_(Io), Local_(Local), Limit_(std::move(Limit)),
      Answer_(std::move(Answer)), Refuse_(std::move(Refuse)), Acceptor_(Io) {}

bool Listener::listen() {
  Reason_ = net::listenOn(Acceptor_, Local_);
  if (!Reason_.empty())
    return false;
  asio::co_spawn(Io_, accept(), asio::detached);
  return true;
}

void Listener::close() {
  Closing_ = true;
  Error Ignored;
  Acceptor_.close(Ignored);
  for (const std::shared_ptr<Session> &Open : Sessions_)
    if (Open->Idle_ && Open->Stream_->socket().available(Ignored) == 0)
      Open->Stream_->cancel();
}

Awaitable<void> Listener::accept() {
  while (Acceptor_.is_open()) {
    Error Failed;
    asio::ip::tcp::socket Socket(Io_);
    co_await Acceptor_.async_accept(Socket, storeError(Failed));
    if (Failed == asio::error::operation_aborted)
      co_return;
    if (Failed) {
      evictOldest();
      asio::steady_timer RetryTimer(Io_, AcceptRetryDelay);
      co_await RetryTimer.async_wait(storeError(Failed));
      continue;
    }
    if (Sessions_.size() >= MaxConnections && !evictOldest())
      continue;
    Socket.set_option(asio::ip::tcp::no_delay(true), Failed);
    auto Accepted = std::make_shared<Session>();
    Accepted->Stream_ = std::make_shared<beast::tcp_stream>(std::move(Socket));
    Accepted->WaitSequence_ = ++LastSequence_;
    Sessions_.insert(Accepted);
    asio::co_spawn(Io_, serve(Accepted), asio::detached);
  }
}

Awaitable<void> Listener::serve(std::shared_ptr<Session> Accepted) {
  beast::flat_buffer Buffer;
  while (co_await serveRequest(*Accepted, Buffer))
    release(*Accepted);
  release(*Accepted);
  Error Ignored;
  Accepted->Stream_->socket().shutdown(asio::ip::tcp::socket::shutdown_send,
                                       Ignored);
  Accepted->Stream_->close();
  Sessions_.erase(Accepted);
}

bool Listener::evictOldest() {
  Session *Oldest = nullptr;
  for (const std::shared_ptr<Session> &Candidate : Sessions_)
    if (!Candidate->Answering_ && !Candidate->Evicted_ &&
        (!Oldest || Candidate->WaitSequence_ < Oldest->WaitSequence_))
      Oldest = Candidate.get();
  if (!Oldest)
    return false;
  Oldest->Evicted_ = true;
  Oldest->Stream_->close();
  release(*Oldest);
  return true;
}

void Listener::reserve(Session &Current, std::uint64_t Bytes) {
  Current.ReservedBytes_ = Bytes;
  ReservedBytes_ += Bytes;
  // As the newest session, Current is the last to be evicted.
  Current.WaitSequence_ = ++LastSequence_;
  while (ReservedBytes_ > MaxBodyBytes && evictOldest())
    ;
}

void Listener::release(Session &Current) noexcept {
  ReservedBytes_ -= Current.ReservedBytes_;
  Current.ReservedBytes_ = 0;
  Current.Answering_ = false;
}

Awaitable<bool> Listener::serveRequest(Session &Current,
                                       beast::flat_buffer &Buffer) {
  http::request_parser<http::string_body> Parser;
  Parser.header_limit(MaxHeaderBytes);
  Parser.body_limit(boost::none);
  Error Failed;
  Current.Idle_ = true;
  Current.Stream_->expires_after(IdleTimeout);
  co_await http::async_read_header(*Current.Stream_, Buffer, Parser,
                                   storeError(Failed));
  if (Failed)
    co_return false;
  Current.Idle_ = false;
  const std::string_view Target(Parser.get().target().data(),
                                Parser.get().target().size());
  const std::uint64_t Limit = Limit_(Target);
  Parser.body_limit(Limit);
  Current.Stream_->expires_after(RequestTimeout);
  reserve(Current, std::min(Parser.content_length().value_or(Limit), Limit));
  if (Parser.content_length().value_or(0) > Limit)
    Failed = http::error::body_limit;
  else
    co_await http::async_read(*Current.Stream_, Buffer, Parser,
                              storeError(Failed));
  if (Failed == http::error::body_limit) {
    co_await Refuse_(Current.Stream_);
    co_return false;
  }
  if (Failed)
    co_return false;
  Current.Stream_->expires_never();
  Current.Answering_ = true;
  HttpMessage Message = Parser.release();
  const bool Close = Closing_ || !Message.keep_alive();
  const bool Answered =
      co_await Answer_(std::move(Message), Current.Stream_, Close);
  co_return Answered && !Close && !Closing_;
}

} // namespace medlarmoor::request::internal
