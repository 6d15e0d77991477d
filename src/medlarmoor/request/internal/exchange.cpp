#include <medlarmoor/net/internal_http.hpp>
#include <medlarmoor/request/internal/exchange.hpp>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>

namespace medlarmoor::request::internal {

namespace {

constexpr Millis ConnectTimeout{500};
/// Limit on each single read or write while an answer is relayed.
constexpr Millis StallTimeout = Seconds(10);

/// Returns true for headers that apply to one connection or one attempt only
/// and are not relayed.
bool isHopByHopHeader(std::string_view Name) {
  static constexpr std::array HopByHop{"connection", "transfer-encoding",
                                       "content-length", "keep-alive",
                                       "medlarmoor-attempt"};
  return std::any_of(
      HopByHop.begin(), HopByHop.end(),
      [Name](const char *Header) { return beast::iequals(Name, Header); });
}

/// Reads more of the body into Buffer and sets BytesRead. Returns false on an
/// error, also if the connection ends before the body.
Awaitable<bool> readSome(Answer &Source, char *Buffer, std::size_t Capacity,
                         std::size_t &BytesRead, Error &Failed) {
  auto &Body = Source.Parser_.get().body();
  Body.data = Buffer;
  Body.size = Capacity;
  co_await http::async_read_some(Source.Connection_->Stream_,
                                 Source.Connection_->Buffer_, Source.Parser_,
                                 storeError(Failed));
  if (Failed == http::error::need_buffer)
    Failed = {};
  BytesRead = Capacity - Body.size;
  co_return !Failed;
}

Awaitable<bool> readBodyPrefix(Answer &Source) {
  Error Failed;
  Source.BodyPrefix_.resize(ReadAheadBytes);
  std::size_t Size = 0;
  while (!Source.Parser_.is_done() && Size < ReadAheadBytes) {
    std::size_t BytesRead = 0;
    if (!co_await readSome(Source, Source.BodyPrefix_.data() + Size,
                           ReadAheadBytes - Size, BytesRead, Failed))
      co_return false;
    Size += BytesRead;
  }
  Source.BodyPrefix_.resize(Size);
  Source.Complete_ = Source.Parser_.is_done();
  co_return true;
}

/// Sends Message on Received.Connection_ and reads the header and the first
/// bytes of the answer into Received.
Awaitable<bool> exchange(Answer &Received, const CallOptions &Options,
                         const HttpMessage &Message) {
  Connection &Via = *Received.Connection_;
  Error Failed;
  Received.Parser_.body_limit(boost::none);
  Via.Stream_.expires_at(Options.Deadline_);
  co_await http::async_write(Via.Stream_, Message, storeError(Failed));
  if (Failed)
    co_return false;
  if (Via.Reused_ && Options.HeaderTimeout_ > Nanos(0))
    Via.Stream_.expires_at(
        std::min(Options.Deadline_,
                 std::chrono::steady_clock::now() + Options.HeaderTimeout_));
  co_await http::async_read_header(Via.Stream_, Via.Buffer_, Received.Parser_,
                                   storeError(Failed));
  // A body without a length or chunks ends with the connection, so that a
  // truncated answer could not be distinguished from a complete one.
  if (Failed || (Received.Parser_.need_eof() && !Received.Parser_.is_done()))
    co_return false;
  Via.Stream_.expires_at(Options.Deadline_);
  co_return co_await readBodyPrefix(Received);
}

Awaitable<bool>
writeSome(beast::tcp_stream &Destination,
          http::response_serializer<http::buffer_body> &Serializer,
          http::response<http::buffer_body> &Message, char *Data,
          std::size_t Size, bool More) {
  Message.body().data = Size > 0 ? Data : nullptr;
  Message.body().size = Size;
  Message.body().more = More;
  Error Failed;
  Destination.expires_after(StallTimeout);
  co_await http::async_write(Destination, Serializer, storeError(Failed));
  co_return !Failed || Failed == http::error::need_buffer;
}

Awaitable<bool> discardRest(Answer &Source) {
  std::string Chunk(ReadAheadBytes, '\0');
  Error Failed;
  while (!Source.Parser_.is_done()) {
    std::size_t BytesRead = 0;
    Source.Connection_->Stream_.expires_after(StallTimeout);
    if (!co_await readSome(Source, Chunk.data(), Chunk.size(), BytesRead,
                           Failed))
      co_return false;
  }
  co_return true;
}

http::response<http::buffer_body>
relayedHeader(const Answer &Source, const net::HttpHeaders &Extra, bool Close) {
  http::response<http::buffer_body> Header;
  Header.version(11);
  Header.result(Source.status());
  for (const auto &Field : Source.Parser_.get())
    if (!isHopByHopHeader(Field.name_string()))
      Header.set(Field.name_string(), Field.value());
  net::internal::putFields(Extra, Header);
  if (Source.Parser_.content_length())
    Header.content_length(*Source.Parser_.content_length());
  else
    Header.chunked(true);
  Header.keep_alive(!Close);
  return Header;
}

} // namespace

unsigned Answer::status() const { return Parser_.get().result_int(); }

std::string Answer::header(std::string_view Name) const {
  const auto Found = Parser_.get().find(Name);
  return Found == Parser_.get().end() ? std::string()
                                      : std::string(Found->value());
}

net::HttpResponse Answer::message() const {
  net::HttpResponse Response{status(), {}, BodyPrefix_};
  for (const auto &Field : Parser_.get())
    if (!isHopByHopHeader(Field.name_string()))
      Response.Headers_.add(std::string(Field.name_string()),
                            std::string(Field.value()));
  return Response;
}

Awaitable<CallResult> call(ConnectionPool &Pool, CallOptions Options,
                           const HttpMessage &Message, ConnectionPtr &InUse) {
  auto Received = std::make_shared<Answer>();
  if (!Options.NewConnection_)
    Received->Connection_ = Pool.reuse(Options.Remote_);
  if (!Received->Connection_)
    Received->Connection_ = co_await Pool.connect(
        Options.Remote_,
        std::min<Nanos>(ConnectTimeout,
                        Options.Deadline_ - std::chrono::steady_clock::now()));
  if (!Received->Connection_)
    co_return CallResult{CallEnd::NotConnected, nullptr};
  InUse = Received->Connection_;
  const bool Answered = co_await exchange(*Received, Options, Message);
  InUse.reset();
  if (!Answered) {
    if (Received->Connection_->Reused_)
      Pool.purge(Options.Remote_);
    co_return CallResult{CallEnd::Failed, nullptr};
  }
  if (Received->Complete_ && Received->Parser_.keep_alive())
    Pool.release(Received->Connection_);
  co_return CallResult{CallEnd::Answered, std::move(Received)};
}

Awaitable<bool> relay(Answer &Source, beast::tcp_stream *Destination,
                      const net::HttpHeaders &Extra, bool Close) {
  if (!Destination)
    co_return co_await discardRest(Source);
  http::response<http::buffer_body> Message =
      relayedHeader(Source, Extra, Close);
  http::response_serializer<http::buffer_body> Serializer(Message);
  bool More = !Source.Parser_.is_done();
  if (!co_await writeSome(*Destination, Serializer, Message,
                          Source.BodyPrefix_.data(), Source.BodyPrefix_.size(),
                          More))
    co_return false;
  Error Failed;
  while (More) {
    std::size_t BytesRead = 0;
    Source.Connection_->Stream_.expires_after(StallTimeout);
    if (!co_await readSome(Source, Source.BodyPrefix_.data(),
                           Source.BodyPrefix_.size(), BytesRead, Failed))
      co_return false;
    More = !Source.Parser_.is_done();
    if (BytesRead == 0 && More)
      continue;
    if (!co_await writeSome(*Destination, Serializer, Message,
                            Source.BodyPrefix_.data(), BytesRead, More))
      co_return false;
  }
  co_return true;
}

Awaitable<bool> writeResponse(beast::tcp_stream &Destination,
                              const net::HttpResponse &Response, bool Close) {
  http::response<http::string_body> Message(
      static_cast<http::status>(Response.Status_), 11);
  net::internal::putFields(Response.Headers_, Message);
  Message.body() = Response.Body_;
  Message.keep_alive(!Close);
  Message.prepare_payload();
  Error Failed;
  Destination.expires_after(StallTimeout);
  co_await http::async_write(Destination, Message, storeError(Failed));
  co_return !Failed;
}

} // namespace medlarmoor::request::internal
