#include <medlarmoor/net/http_server.hpp>
#include <medlarmoor/net/internal_http.hpp>
#include <medlarmoor/net/listen_on.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <cstdint>
#include <map>

namespace medlarmoor::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

namespace {

/// After a failed accept.
constexpr Millis AcceptPause{20};

} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Io, Endpoint Where, HttpHandler Handler,
       HttpLimits Limits)
      : Where_(Where), Handler_(std::move(Handler)), Limits_(Limits),
        Acceptor_(Io), Pause_(Io) {}

  bool listen() {
    Reason_ = listenOn(Acceptor_, Where_);
    if (!Reason_.empty())
      return false;
    accept();
    return true;
  }

  void close() {
    Error Ignored;
    Acceptor_.close(Ignored);
  }

  void handle(HttpRequest Request, HttpReply Reply) {
    Handler_(std::move(Request), std::move(Reply));
  }
  void opened() noexcept { ++Open_; }
  void closed() noexcept { --Open_; }

  [[nodiscard]] const std::string &reason() const noexcept { return Reason_; }
  [[nodiscard]] const HttpLimits &limits() const noexcept { return Limits_; }

private:
  class Session;
  void accept();
  void onAccept(Error Failed, Tcp::socket Socket);
  /// Closes the connection that has waited longest for its request to become
  /// whole; false when each is being answered.
  bool evictOldest();

  Endpoint Where_;
  HttpHandler Handler_;
  HttpLimits Limits_;
  Tcp::acceptor Acceptor_;
  std::string Reason_;
  std::size_t Open_ = 0;
  /// Connections whose request is not whole yet, by when they began to wait.
  std::map<std::uint64_t, Session *> Unfinished_;
  std::uint64_t Order_ = 0;
  asio::steady_timer Pause_;
};

/// One client connection; reads a request, answers it, reads the next.
class HttpServer::Impl::Session : public std::enable_shared_from_this<Session> {
public:
  Session(std::shared_ptr<Impl> Owner, Tcp::socket Socket)
      : Owner_(std::move(Owner)), Stream_(std::move(Socket)) {
    Owner_->opened();
    Error Ignored;
    const Tcp::endpoint Remote = Stream_.socket().remote_endpoint(Ignored);
    if (Remote.address().is_v4())
      From_ = {Ipv4(Remote.address().to_v4().to_uint()), Remote.port()};
  }
  ~Session() {
    finished();
    Owner_->closed();
  }
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;

  /// Ends the wait for a request, as a client that goes away does.
  void evict() {
    Stream_.cancel();
    Stream_.close();
  }

  void read() {
    Since_ = ++Owner_->Order_;
    Owner_->Unfinished_[Since_] = this;
    Parser_.emplace();
    Parser_->body_limit(Owner_->limits().BodyBytes_);
    Stream_.expires_after(Owner_->limits().Idle_);
    http::async_read(Stream_, Buffer_, *Parser_,
                     [Self = shared_from_this()](Error Failed, std::size_t) {
                       Self->onRead(Failed);
                     });
  }

private:
  void finished() { Owner_->Unfinished_.erase(Since_); }

  void onRead(Error Failed) {
    finished();
    if (Failed == http::error::body_limit)
      return write({413, {}, "body over the limit\n"}, false);
    if (Failed &&
        Failed.category() ==
            http::make_error_code(http::error::end_of_stream).category() &&
        Failed != http::error::end_of_stream &&
        Failed != http::error::partial_message)
      return write({400, {}, "not HTTP: " + Failed.message() + "\n"}, false);
    if (Failed)
      return;
    http::request<http::string_body> Message = Parser_->release();
    const bool KeepAlive = Message.keep_alive();
    HttpRequest Request{
        std::string(Message.method_string()), std::string(Message.target()),
        internal::copyFields(Message), std::move(Message.body()), From_};
    Stream_.expires_never();
    Owner_->handle(std::move(Request),
                   [Self = shared_from_this(), KeepAlive](HttpResponse Out) {
                     Self->write(std::move(Out), KeepAlive);
                   });
  }

  void write(HttpResponse Out, bool KeepAlive) {
    Response_.emplace(static_cast<http::status>(Out.Status_), 11);
    internal::putFields(Out.Headers_, *Response_);
    Response_->body() = std::move(Out.Body_);
    Response_->keep_alive(KeepAlive);
    Response_->prepare_payload();
    Stream_.expires_after(Owner_->limits().Idle_);
    http::async_write(
        Stream_, *Response_,
        [Self = shared_from_this(), KeepAlive](Error Failed, std::size_t) {
          if (!Failed && KeepAlive)
            Self->read();
          else
            Self->shut();
        });
  }

  void shut() {
    Error Ignored;
    Stream_.socket().shutdown(Tcp::socket::shutdown_send, Ignored);
  }

  std::shared_ptr<Impl> Owner_;
  std::uint64_t Since_ = 0;
  beast::tcp_stream Stream_;
  Endpoint From_;
  beast::flat_buffer Buffer_;
  std::optional<http::request_parser<http::string_body>> Parser_;
  std::optional<http::response<http::string_body>> Response_;
};

void HttpServer::Impl::accept() {
  Acceptor_.async_accept(
      [Self = shared_from_this()](Error Failed, Tcp::socket Socket) {
        if (Failed != asio::error::operation_aborted)
          Self->onAccept(Failed, std::move(Socket));
      });
}

void HttpServer::Impl::onAccept(Error Failed, Tcp::socket Socket) {
  if (Failed) {
    // For example no free descriptor: accepting again at once would fail too.
    evictOldest();
    Pause_.expires_after(AcceptPause);
    Pause_.async_wait([Self = shared_from_this()](Error) {
      if (Self->Acceptor_.is_open())
        Self->accept();
    });
    return;
  }
  if (Open_ < Limits_.Connections_ || evictOldest())
    std::make_shared<Session>(shared_from_this(), std::move(Socket))->read();
  if (Acceptor_.is_open())
    accept();
}

bool HttpServer::Impl::evictOldest() {
  if (Unfinished_.empty())
    return false;
  Session *Oldest = Unfinished_.begin()->second;
  Unfinished_.erase(Unfinished_.begin());
  Oldest->evict();
  return true;
}

HttpServer::HttpServer(asio::io_context &Io, Endpoint Where,
                       HttpHandler Handler, HttpLimits Limits)
    : Impl_(std::make_shared<Impl>(Io, Where, std::move(Handler), Limits)) {}

HttpServer::~HttpServer() { Impl_->close(); }

bool HttpServer::listen() { return Impl_->listen(); }

void HttpServer::close() { Impl_->close(); }

const std::string &HttpServer::lastReason() const noexcept {
  return Impl_->reason();
}

} // namespace medlarmoor::net
