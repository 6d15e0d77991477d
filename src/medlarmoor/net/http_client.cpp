#include <medlarmoor/net/http_client.hpp>
#include <medlarmoor/net/internal_http.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <memory>

namespace medlarmoor::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

namespace {

constexpr std::size_t ResponseLimit = 64U * 1024U * 1024U;

/// One request on one connection.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  Exchange(asio::io_context &Io, HttpDone Done)
      : Stream_(Io), Done_(std::move(Done)) {
    Parser_.body_limit(ResponseLimit);
  }

  void start(Endpoint Where, Ipv4 Source, HttpRequest Request, Millis Timeout) {
    Message_.method_string(Request.Method_);
    Message_.target(Request.Target_);
    Message_.version(11);
    Message_.set(http::field::host, Where.text());
    internal::putFields(Request.Headers_, Message_);
    Message_.body() = std::move(Request.Body_);
    Message_.keep_alive(false);
    Message_.prepare_payload();
    Stream_.expires_after(Timeout);
    if (!bindSource(Source))
      return;
    Stream_.async_connect(
        internal::toTcp(Where),
        [Self = shared_from_this()](Error Failed) { Self->onConnect(Failed); });
  }

private:
  bool bindSource(Ipv4 Source) {
    if (Source == Ipv4())
      return true;
    Error Failed;
    Stream_.socket().open(asio::ip::tcp::v4(), Failed);
    if (!Failed)
      Stream_.socket().bind({asio::ip::address_v4(Source.value()), 0}, Failed);
    if (!Failed)
      return true;
    asio::post(Stream_.get_executor(), [Self = shared_from_this(), Failed] {
      Self->fail("bind", Failed);
    });
    return false;
  }

  void onConnect(Error Failed) {
    if (Failed)
      return fail("connect", Failed);
    http::async_write(Stream_, Message_,
                      [Self = shared_from_this()](Error E, std::size_t) {
                        Self->onWrite(E);
                      });
  }

  void onWrite(Error Failed) {
    if (Failed)
      return fail("write", Failed);
    http::async_read(
        Stream_, Buffer_, Parser_,
        [Self = shared_from_this()](Error E, std::size_t) { Self->onRead(E); });
  }

  void onRead(Error Failed) {
    if (Failed)
      return fail("read", Failed);
    http::response<http::string_body> Message = Parser_.release();
    HttpResponse Out{Message.result_int(), internal::copyFields(Message),
                     std::move(Message.body())};
    Done_(std::move(Out), {});
  }

  void fail(const char *Step, Error Failed) {
    Done_(std::nullopt, std::string(Step) + ": " + Failed.message());
  }

  beast::tcp_stream Stream_;
  beast::flat_buffer Buffer_;
  http::request<http::string_body> Message_;
  http::response_parser<http::string_body> Parser_;
  HttpDone Done_;
};

} // namespace

HttpClient::HttpClient(asio::io_context &Io, Ipv4 Source)
    : Io_(Io), Source_(Source) {}

void HttpClient::send(Endpoint Where, HttpRequest Request, Millis Timeout,
                      HttpDone Done) {
  std::make_shared<Exchange>(Io_, std::move(Done))
      ->start(Where, Source_, std::move(Request), Timeout);
}

std::optional<HttpResponse> httpCall(Endpoint Where, HttpRequest Request,
                                     Millis Timeout, std::string &Reason,
                                     Ipv4 Source) {
  asio::io_context Io;
  std::optional<HttpResponse> Out;
  HttpClient Client(Io, Source);
  Client.send(Where, std::move(Request), Timeout,
              [&](std::optional<HttpResponse> Response, std::string Why) {
                Out = std::move(Response);
                Reason = std::move(Why);
              });
  Io.run();
  return Out;
}

} // namespace medlarmoor::net
