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

constexpr Millis IdleTime = Seconds(30);
/// A request that has begun must be there within this time.
constexpr Millis RequestTime = Seconds(30);
constexpr std::size_t ConnectionsAtMost = 4096;
constexpr std::size_t HeaderBytes = 16U * 1024U;
/// All bodies that are being read or answered may take so many bytes.
constexpr std::uint64_t BodyBytesAtMost = 64U * 1024U * 1024U;
/// After a failed accept, for example without free descriptors.
constexpr Millis AcceptPause{20};

} // namespace

Listener::Listener(asio::io_context &Io, Endpoint Where, BodyLimit Limit,
                   Handler Answer, TooLargeHandler Refuse)
    : Io_(Io), Where_(Where), Limit_(std::move(Limit)),
      Answer_(std::move(Answer)), Refuse_(std::move(Refuse)), Acceptor_(Io) {}

bool Listener::listen() {
  Reason_ = net::listenOn(Acceptor_, Where_);
  if (!Reason_.empty())
    return false;
  asio::co_spawn(Io_, accept(), asio::detached);
  return true;
}

void Listener::close() {
  Closing_ = true;
  Error Ignored;
  Acceptor_.close(Ignored);
  for (const std::shared_ptr<Session> &Each : Sessions_)
    if (Each->Idle_ && Each->Stream_->socket().available(Ignored) == 0)
      Each->Stream_->cancel();
}

Awaitable<void> Listener::accept() {
  while (Acceptor_.is_open()) {
    Error Failed;
    asio::ip::tcp::socket Socket(Io_);
    co_await Acceptor_.async_accept(Socket, into(Failed));
    if (Failed == asio::error::operation_aborted)
      co_return;
    if (Failed) {
      evictOldest();
      asio::steady_timer Pause(Io_, AcceptPause);
      co_await Pause.async_wait(into(Failed));
      continue;
    }
    if (Sessions_.size() >= ConnectionsAtMost && !evictOldest())
      continue;
    Socket.set_option(asio::ip::tcp::no_delay(true), Failed);
    auto Of = std::make_shared<Session>();
    Of->Stream_ = std::make_shared<beast::tcp_stream>(std::move(Socket));
    Of->Since_ = ++Order_;
    Sessions_.insert(Of);
    asio::co_spawn(Io_, run(Of), asio::detached);
  }
}

Awaitable<void> Listener::run(std::shared_ptr<Session> Of) {
  beast::flat_buffer Buffer;
  while (co_await serveOne(*Of, Buffer))
    release(*Of);
  release(*Of);
  Error Ignored;
  Of->Stream_->socket().shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  Of->Stream_->close();
  Sessions_.erase(Of);
}

bool Listener::evictOldest() {
  Session *Oldest = nullptr;
  for (const std::shared_ptr<Session> &Each : Sessions_)
    if (!Each->Answering_ && !Each->Evicted_ &&
        (!Oldest || Each->Since_ < Oldest->Since_))
      Oldest = Each.get();
  if (!Oldest)
    return false;
  Oldest->Evicted_ = true;
  Oldest->Stream_->close();
  release(*Oldest);
  return true;
}

void Listener::reserve(Session &Of, std::uint64_t Bytes) {
  Of.Reserved_ = Bytes;
  Reserved_ += Bytes;
  // Its own turn to be evicted comes last, since it is the newest.
  Of.Since_ = ++Order_;
  while (Reserved_ > BodyBytesAtMost && evictOldest())
    ;
}

void Listener::release(Session &Of) noexcept {
  Reserved_ -= Of.Reserved_;
  Of.Reserved_ = 0;
  Of.Answering_ = false;
}

Awaitable<bool> Listener::serveOne(Session &Of, beast::flat_buffer &Buffer) {
  http::request_parser<http::string_body> Parser;
  Parser.header_limit(HeaderBytes);
  Parser.body_limit(boost::none);
  Error Failed;
  Of.Idle_ = true;
  Of.Stream_->expires_after(IdleTime);
  co_await http::async_read_header(*Of.Stream_, Buffer, Parser, into(Failed));
  if (Failed)
    co_return false;
  Of.Idle_ = false;
  const std::string_view Target(Parser.get().target().data(),
                                Parser.get().target().size());
  const std::uint64_t Limit = Limit_(Target);
  Parser.body_limit(Limit);
  Of.Stream_->expires_after(RequestTime);
  reserve(Of, std::min(Parser.content_length().value_or(Limit), Limit));
  if (Parser.content_length().value_or(0) > Limit)
    Failed = http::error::body_limit;
  else
    co_await http::async_read(*Of.Stream_, Buffer, Parser, into(Failed));
  if (Failed == http::error::body_limit) {
    co_await Refuse_(Of.Stream_);
    co_return false;
  }
  if (Failed)
    co_return false;
  Of.Stream_->expires_never();
  Of.Answering_ = true;
  HttpMessage Message = Parser.release();
  const bool Close = Closing_ || !Message.keep_alive();
  const bool Fine = co_await Answer_(std::move(Message), Of.Stream_, Close);
  co_return Fine && !Close && !Closing_;
}

} // namespace medlarmoor::request::internal
