#include <medlarmoor/net/http_client.hpp>
#include <medlarmoor/net/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::net;

namespace {

const Endpoint Where(*Ipv4::parse("127.0.0.1"), 47311);

HttpRequest post(std::string Target, std::string Body) {
  return {"POST", std::move(Target), {}, std::move(Body)};
}

} // namespace

TEST_CASE("a request and its answer cross whole") {
  boost::asio::io_context Io;
  HttpServer Server(Io, Where, [](HttpRequest Request, const HttpReply &Reply) {
    Reply({201, {}, *Request.query("name") + "/" + Request.Body_});
  });
  REQUIRE(Server.listen());
  HttpClient Client(Io, {});
  std::optional<HttpResponse> Got;
  Client.send(Where, post("/a?x=1&name=b%20c", "body"), Seconds(5),
              [&](std::optional<HttpResponse> Response, const std::string &) {
                Got = std::move(Response);
                Server.close();
              });
  Io.run();
  REQUIRE(Got);
  CHECK(Got->Status_ == 201);
  CHECK(Got->Body_ == "b c/body");
}

TEST_CASE("a body over the limit is refused and a second server is told why") {
  boost::asio::io_context Io;
  HttpLimits Limits;
  Limits.BodyBytes_ = 8;
  HttpServer Server(
      Io, Where, [](const HttpRequest &, const HttpReply &Reply) { Reply({}); },
      Limits);
  REQUIRE(Server.listen());
  HttpServer Second(Io, Where, [](const HttpRequest &, const HttpReply &) {});
  CHECK_FALSE(Second.listen());
  CHECK(Second.lastReason() == "127.0.0.1:47311: Address already in use");
  HttpClient Client(Io, {});
  unsigned Status = 0;
  Client.send(Where, post("/", "longer than eight"), Seconds(5),
              [&](std::optional<HttpResponse> Response, const std::string &) {
                Status = Response ? Response->Status_ : 0;
                Server.close();
              });
  Io.run();
  CHECK(Status == 413);
}
