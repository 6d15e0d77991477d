#include <harness/raw_http_server.hpp>

#include <medlarmoor/net/internal_http.hpp>
#include <medlarmoor/net/listen_on.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>

namespace medlarmoor::harness {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

std::string renderHttp(const net::HttpResponse &Response) {
  const auto Status = static_cast<http::status>(Response.Status_);
  std::string Out = "HTTP/1.1 " + std::to_string(Response.Status_);
  Out += " ";
  Out += http::obsolete_reason(Status);
  Out += "\r\n";
  for (const auto &[Name, Value] : Response.Headers_)
    Out.append(Name).append(": ").append(Value).append("\r\n");
  Out += "Connection: close\r\nContent-Length: ";
  Out += std::to_string(Response.Body_.size());
  Out += "\r\n\r\n";
  return Out + Response.Body_;
}

class RawHttpServer::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Io, Endpoint Where, Handler OnRequest)
      : Where_(Where), Handler_(std::move(OnRequest)), Acceptor_(Io) {}

  bool listen() {
    Reason_ = net::listenOn(Acceptor_, Where_);
    if (!Reason_.empty())
      return false;
    accept();
    return true;
  }

  void close() {
    Error Ignored;
    Acceptor_.close(Ignored);
    Handler_ = nullptr;
  }

  void handle(net::HttpRequest Request, Reply Answer) {
    if (Handler_)
      Handler_(std::move(Request), std::move(Answer));
  }

  [[nodiscard]] const std::string &reason() const noexcept { return Reason_; }

private:
  class Session;
  void accept();

  Endpoint Where_;
  Handler Handler_;
  Tcp::acceptor Acceptor_;
  std::string Reason_;
};

class RawHttpServer::Impl::Session
    : public std::enable_shared_from_this<Session> {
public:
  Session(std::shared_ptr<Impl> Owner, Tcp::socket Socket)
      : Owner_(std::move(Owner)), Stream_(std::move(Socket)) {}

  void read() {
    http::async_read(Stream_, Buffer_, Parser_,
                     [Self = shared_from_this()](Error Failed, std::size_t) {
                       if (!Failed)
                         Self->onRead();
                     });
  }

private:
  void onRead() {
    http::request<http::string_body> Message = Parser_.release();
    net::HttpRequest Request{std::string(Message.method_string()),
                             std::string(Message.target()),
                             net::internal::copyFields(Message),
                             std::move(Message.body()), Endpoint()};
    Owner_->handle(std::move(Request),
                   [Self = shared_from_this()](std::string Bytes) {
                     Self->write(std::move(Bytes));
                   });
  }

  void write(std::string Bytes) {
    Out_ = std::move(Bytes);
    asio::async_write(Stream_, asio::buffer(Out_),
                      [Self = shared_from_this()](Error, std::size_t) {
                        Error Ignored;
                        Self->Stream_.socket().shutdown(
                            Tcp::socket::shutdown_send, Ignored);
                      });
  }

  std::shared_ptr<Impl> Owner_;
  beast::tcp_stream Stream_;
  beast::flat_buffer Buffer_;
  http::request_parser<http::string_body> Parser_;
  std::string Out_;
};

void RawHttpServer::Impl::accept() {
  Acceptor_.async_accept(
      [Self = shared_from_this()](Error Failed, Tcp::socket Socket) {
        if (!Failed)
          std::make_shared<Session>(Self, std::move(Socket))->read();
        if (Self->Acceptor_.is_open())
          Self->accept();
      });
}

RawHttpServer::RawHttpServer(asio::io_context &Io, Endpoint Where,
                             Handler OnRequest)
    : Impl_(std::make_shared<Impl>(Io, Where, std::move(OnRequest))) {}

RawHttpServer::~RawHttpServer() { Impl_->close(); }

bool RawHttpServer::listen() { return Impl_->listen(); }

const std::string &RawHttpServer::lastReason() const noexcept {
  return Impl_->reason();
}

} // namespace medlarmoor::harness
