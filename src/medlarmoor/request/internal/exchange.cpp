#include <medlarmoor/net/internal_http.hpp>
#include <medlarmoor/request/internal/exchange.hpp>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>

namespace medlarmoor::request::internal {

namespace {

constexpr Millis ConnectTime{500};
constexpr Millis StallTime = Seconds(10);

bool isHopHeader(std::string_view Name) {
  static constexpr std::array Hop{"connection", "transfer-encoding",
                                  "content-length", "keep-alive",
                                  "medlarmoor-attempt"};
  return std::any_of(Hop.begin(), Hop.end(), [Name](const char *Each) {
    return beast::iequals(Name, Each);
  });
}

/// Reads more of the body into Into; false at the end or on an error.
Awaitable<bool> readSome(Answer &From, char *Into, std::size_t Room,
                         std::size_t &Got, Error &Failed) {
  auto &Body = From.Parser_.get().body();
  Body.data = Into;
  Body.size = Room;
  co_await http::async_read_some(From.From_->Stream_, From.From_->Buffer_,
                                 From.Parser_, into(Failed));
  if (Failed == http::error::need_buffer)
    Failed = {};
  Got = Room - Body.size;
  co_return !Failed;
}

Awaitable<bool> readHead(Answer &From) {
  Error Failed;
  From.Head_.resize(ReadAheadBytes);
  std::size_t Size = 0;
  while (!From.Parser_.is_done() && Size < ReadAheadBytes) {
    std::size_t Got = 0;
    if (!co_await readSome(From, From.Head_.data() + Size,
                           ReadAheadBytes - Size, Got, Failed))
      co_return false;
    Size += Got;
  }
  From.Head_.resize(Size);
  From.Whole_ = From.Parser_.is_done();
  co_return true;
}

Awaitable<bool> exchange(Answer &Into, const CallPlan &Plan,
                         const HttpMessage &Message) {
  Connection &Via = *Into.From_;
  Error Failed;
  Into.Parser_.body_limit(boost::none);
  Via.Stream_.expires_at(Plan.Deadline_);
  co_await http::async_write(Via.Stream_, Message, into(Failed));
  if (Failed)
    co_return false;
  if (Via.Reused_ && Plan.Silence_ > Nanos(0))
    Via.Stream_.expires_at(std::min(
        Plan.Deadline_, std::chrono::steady_clock::now() + Plan.Silence_));
  co_await http::async_read_header(Via.Stream_, Via.Buffer_, Into.Parser_,
                                   into(Failed));
  // Without a length or chunks a cut answer could not be told from a whole one.
  if (Failed || (Into.Parser_.need_eof() && !Into.Parser_.is_done()))
    co_return false;
  Via.Stream_.expires_at(Plan.Deadline_);
  co_return co_await readHead(Into);
}

Awaitable<bool>
writeSome(beast::tcp_stream &To,
          http::response_serializer<http::buffer_body> &Serializer,
          http::response<http::buffer_body> &Message, char *Data,
          std::size_t Size, bool More) {
  Message.body().data = Size > 0 ? Data : nullptr;
  Message.body().size = Size;
  Message.body().more = More;
  Error Failed;
  To.expires_after(StallTime);
  co_await http::async_write(To, Serializer, into(Failed));
  co_return !Failed || Failed == http::error::need_buffer;
}

Awaitable<bool> drain(Answer &From) {
  std::string Chunk(ReadAheadBytes, '\0');
  Error Failed;
  while (!From.Parser_.is_done()) {
    std::size_t Got = 0;
    From.From_->Stream_.expires_after(StallTime);
    if (!co_await readSome(From, Chunk.data(), Chunk.size(), Got, Failed))
      co_return false;
  }
  co_return true;
}

http::response<http::buffer_body>
headerFor(const Answer &From, const net::HttpHeaders &Extra, bool Close) {
  http::response<http::buffer_body> Out;
  Out.version(11);
  Out.result(From.status());
  for (const auto &Field : From.Parser_.get())
    if (!isHopHeader(Field.name_string()))
      Out.set(Field.name_string(), Field.value());
  net::internal::putFields(Extra, Out);
  if (From.Parser_.content_length())
    Out.content_length(*From.Parser_.content_length());
  else
    Out.chunked(true);
  Out.keep_alive(!Close);
  return Out;
}

} // namespace

unsigned Answer::status() const { return Parser_.get().result_int(); }

std::string Answer::field(std::string_view Name) const {
  const auto At = Parser_.get().find(Name);
  return At == Parser_.get().end() ? std::string() : std::string(At->value());
}

net::HttpResponse Answer::message() const {
  net::HttpResponse Out{status(), {}, Head_};
  for (const auto &Field : Parser_.get())
    if (!isHopHeader(Field.name_string()))
      Out.Headers_.add(std::string(Field.name_string()),
                       std::string(Field.value()));
  return Out;
}

Awaitable<CallResult> call(ConnectionPool &Pool, CallPlan Plan,
                           const HttpMessage &Message, ConnectionPtr &Opened) {
  auto Into = std::make_shared<Answer>();
  if (!Plan.Fresh_)
    Into->From_ = Pool.reuse(Plan.To_);
  if (!Into->From_)
    Into->From_ = co_await Pool.connect(
        Plan.To_,
        std::min<Nanos>(ConnectTime,
                        Plan.Deadline_ - std::chrono::steady_clock::now()));
  if (!Into->From_)
    co_return CallResult{CallEnd::NotConnected, nullptr};
  Opened = Into->From_;
  const bool Answered = co_await exchange(*Into, Plan, Message);
  Opened.reset();
  if (!Answered) {
    if (Into->From_->Reused_)
      Pool.purge(Plan.To_);
    co_return CallResult{CallEnd::Failed, nullptr};
  }
  if (Into->Whole_ && Into->Parser_.keep_alive())
    Pool.giveBack(Into->From_);
  co_return CallResult{CallEnd::Answered, std::move(Into)};
}

Awaitable<bool> relay(Answer &From, beast::tcp_stream *To,
                      const net::HttpHeaders &Extra, bool Close) {
  if (!To)
    co_return co_await drain(From);
  http::response<http::buffer_body> Message = headerFor(From, Extra, Close);
  http::response_serializer<http::buffer_body> Serializer(Message);
  bool More = !From.Parser_.is_done();
  if (!co_await writeSome(*To, Serializer, Message, From.Head_.data(),
                          From.Head_.size(), More))
    co_return false;
  Error Failed;
  while (More) {
    std::size_t Got = 0;
    From.From_->Stream_.expires_after(StallTime);
    if (!co_await readSome(From, From.Head_.data(), From.Head_.size(), Got,
                           Failed))
      co_return false;
    More = !From.Parser_.is_done();
    if (Got == 0 && More)
      continue;
    if (!co_await writeSome(*To, Serializer, Message, From.Head_.data(), Got,
                            More))
      co_return false;
  }
  co_return true;
}

Awaitable<bool> writeWhole(beast::tcp_stream &To,
                           const net::HttpResponse &Response, bool Close) {
  http::response<http::string_body> Message(
      static_cast<http::status>(Response.Status_), 11);
  net::internal::putFields(Response.Headers_, Message);
  Message.body() = Response.Body_;
  Message.keep_alive(!Close);
  Message.prepare_payload();
  Error Failed;
  To.expires_after(StallTime);
  co_await http::async_write(To, Message, into(Failed));
  co_return !Failed;
}

} // namespace medlarmoor::request::internal
