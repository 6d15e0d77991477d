#include <bench/edge_soak/store_standin.hpp>

#include <utility>

namespace medlarmoor::bench::soak {

using Json = nlohmann::json;

namespace {

constexpr const char *ObjectsPath = "/medlarmoor/objects/";
/// Objects a page, small so that lists have several.
constexpr std::size_t PageObjects = 5;
constexpr Millis SlowAnswer{300};
constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr unsigned Gone = 410;
constexpr unsigned Unavailable = 503;

} // namespace

StoreStandin::StoreStandin(boost::asio::io_context &Io, Endpoint Where,
                           Clock Time)
    : Io_(Io), Time_(std::move(Time)),
      Server_(Io, Where,
              [this](const net::HttpRequest &Request,
                     const net::HttpReply &Reply) { handle(Request, Reply); }) {
}

void StoreStandin::put(const std::string &Kind, const std::string &Name,
                       Json Spec) {
  if (Objects_.put(Kind, Name, std::move(Spec), Time_.now()))
    answerWatches(Kind);
}

void StoreStandin::remove(const std::string &Kind, const std::string &Name) {
  if (Objects_.remove(Kind, Name, Time_.now()))
    answerWatches(Kind);
}

void StoreStandin::restore(TimePoint AsOf) {
  Objects_.restore(AsOf, Time_.now());
  Watches_.clear();
}

void StoreStandin::handle(const net::HttpRequest &Request,
                          const net::HttpReply &Reply) {
  ++Calls_;
  switch (Mood_) {
  case StoreMood::Well:
    return answer(Request, Reply);
  case StoreMood::Busy:
    return Reply(response(Unavailable, Json::object()));
  case StoreMood::Reset:
    return;
  case StoreMood::Silent:
    Silenced_.push_back(Reply);
    return;
  case StoreMood::Slow:
    break;
  }
  const auto Timer =
      std::make_shared<boost::asio::steady_timer>(Io_, SlowAnswer);
  Timer->async_wait(
      [this, Timer, Request, Reply](boost::system::error_code Failed) {
        if (!Failed)
          answer(Request, Reply);
      });
}

void StoreStandin::answer(const net::HttpRequest &Request,
                          const net::HttpReply &Reply) {
  const std::string Path(Request.path());
  if (!Path.starts_with(ObjectsPath))
    return Reply(response(NotFound, Json::object()));
  const std::string Kind = Path.substr(std::string(ObjectsPath).size());
  if (const auto After = Request.query("watch"))
    return watch(Kind, std::stoull(*After),
                 Millis(std::stoll(Request.query("waitMs").value_or("0"))),
                 Reply);
  Reply(response(Ok, Objects_.list(Kind, Request.query("after").value_or(""),
                                   PageObjects)));
}

void StoreStandin::watch(const std::string &Kind, std::uint64_t After,
                         Millis Wait, const net::HttpReply &Reply) {
  const auto Waiting = std::make_shared<Watch>(
      Watch{Kind, After, Reply, boost::asio::steady_timer(Io_, Wait)});
  if (answerWatch(*Waiting, Wait == Millis(0)))
    return;
  Watches_.push_back(Waiting);
  Waiting->Timer_.async_wait(
      [this, Weak = std::weak_ptr(Waiting)](boost::system::error_code Failed) {
        const auto Ended = Weak.lock();
        if (Failed || !Ended)
          return;
        Watches_.remove(Ended);
        answerWatch(*Ended, true);
      });
}

bool StoreStandin::answerWatch(const Watch &Waiting, bool AlsoNothing) {
  const auto Changes = Objects_.changes(Waiting.Kind_, Waiting.After_);
  if (!Changes)
    Waiting.Reply_(response(Gone, Json::object()));
  else if (AlsoNothing || !(*Changes)["events"].empty())
    Waiting.Reply_(response(Ok, *Changes));
  else
    return false;
  return true;
}

void StoreStandin::answerWatches(const std::string &Kind) {
  if (Mood_ != StoreMood::Well)
    return;
  std::list<std::shared_ptr<Watch>> Due;
  for (auto At = Watches_.begin(); At != Watches_.end();) {
    const auto Waiting = At++;
    if ((*Waiting)->Kind_ == Kind)
      Due.splice(Due.end(), Watches_, Waiting);
  }
  for (const auto &Waiting : Due)
    answerWatch(*Waiting, true);
}

net::HttpResponse StoreStandin::response(unsigned Status,
                                         const Json &Body) const {
  net::HttpResponse Response;
  Response.Status_ = Status;
  Response.Headers_.add("Content-Type", "application/json");
  Response.Headers_.add("Store-Era", std::to_string(Objects_.epoch()));
  Response.Body_ = Body.dump();
  return Response;
}

} // namespace medlarmoor::bench::soak
