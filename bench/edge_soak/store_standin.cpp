#include <bench/edge_soak/store_standin.hpp>

#include <utility>

namespace medlarmoor::bench::soak {

using Json = nlohmann::json;

namespace {

constexpr const char *ObjectsPath = "/medlarmoor/objects/";
/// Objects a page, small so that lists have several.
constexpr std::size_t PageObjects = 5;
constexpr Millis SlowAnswer{300};

net::HttpResponse page(Json Body) {
  net::HttpResponse Out;
  Out.Headers_.add("Content-Type", "application/json");
  Out.Body_ = Body.dump();
  return Out;
}

net::HttpResponse status(unsigned Code) {
  net::HttpResponse Out;
  Out.Status_ = Code;
  return Out;
}

} // namespace

StoreStandin::StoreStandin(boost::asio::io_context &Io, Endpoint Where)
    : Io_(Io),
      Server_(Io, Where,
              [this](const net::HttpRequest &Request,
                     const net::HttpReply &Reply) { handle(Request, Reply); }) {
}

void StoreStandin::put(const std::string &Kind, const std::string &Name,
                       Json Spec) {
  auto &Objects = Kinds_[Kind];
  const auto [At, Inserted] = Objects.try_emplace(Name);
  Object &Each = At->second;
  if (!Inserted && Each.Spec_ == Spec)
    return;
  Each.Spec_ = std::move(Spec);
  Each.Revision_ = ++Revision_;
  if (Inserted)
    Each.Created_ = Revision_;
  changed({Revision_, Kind, packed(Name, Each), false});
}

void StoreStandin::remove(const std::string &Kind, const std::string &Name) {
  auto &Objects = Kinds_[Kind];
  const auto Found = Objects.find(Name);
  if (Found == Objects.end())
    return;
  Event Gone{++Revision_, Kind, packed(Name, Found->second), true};
  Objects.erase(Found);
  changed(std::move(Gone));
}

void StoreStandin::forgetHistory() {
  History_.clear();
  HistoryBegins_ = ++Revision_;
}

void StoreStandin::handle(const net::HttpRequest &Request,
                          const net::HttpReply &Reply) {
  ++Calls_;
  switch (Mood_) {
  case StoreMood::Well:
    return answer(Request, Reply);
  case StoreMood::Busy:
    return Reply(status(503));
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
    return Reply(status(404));
  const std::string Kind = Path.substr(std::string(ObjectsPath).size());
  const auto After = Request.query("watch");
  if (!After)
    return list(Kind, Request.query("after").value_or(""), Reply);
  watch(Kind, std::stoull(*After),
        Millis(std::stoll(Request.query("waitMs").value_or("0"))), Reply);
}

void StoreStandin::list(const std::string &Kind, const std::string &After,
                        const net::HttpReply &Reply) {
  const auto &Objects = Kinds_[Kind];
  Json Items = Json::array();
  auto At = Objects.upper_bound(After);
  for (; At != Objects.end() && Items.size() < PageObjects; ++At)
    Items.push_back(packed(At->first, At->second));
  Reply(page({{"items", Items},
              {"more", At != Objects.end()},
              {"storeRevision", Revision_}}));
}

void StoreStandin::watch(const std::string &Kind, std::uint64_t After,
                         Millis Wait, const net::HttpReply &Reply) {
  if (After < HistoryBegins_)
    return Reply(status(410));
  const auto Each = std::make_shared<Watch>(
      Watch{Kind, After, Reply, boost::asio::steady_timer(Io_, Wait)});
  if (tell(*Each, Wait == Millis(0)))
    return;
  Watches_.push_back(Each);
  Each->Timer_.async_wait(
      [this, Waiting = std::weak_ptr(Each)](boost::system::error_code Failed) {
        const auto Ended = Waiting.lock();
        if (Failed || !Ended)
          return;
        Watches_.remove(Ended);
        tell(*Ended, true);
      });
}

bool StoreStandin::tell(const Watch &Each, bool AlsoNothing) {
  Json Events = Json::array();
  for (const Event &Past : History_)
    if (Past.Revision_ > Each.After_ && Past.Kind_ == Each.Kind_)
      Events.push_back({{"deleted", Past.Deleted_}, {"object", Past.Object_}});
  if (Events.empty() && !AlsoNothing)
    return false;
  Each.Reply_(page({{"events", Events}, {"storeRevision", Revision_}}));
  return true;
}

void StoreStandin::changed(Event What) {
  const std::string Kind = What.Kind_;
  History_.push_back(std::move(What));
  if (Mood_ != StoreMood::Well)
    return;
  std::list<std::shared_ptr<Watch>> Told;
  for (auto At = Watches_.begin(); At != Watches_.end();) {
    const auto Each = At++;
    if ((*Each)->Kind_ == Kind)
      Told.splice(Told.end(), Watches_, Each);
  }
  for (const auto &Each : Told)
    tell(*Each, true);
}

Json StoreStandin::packed(const std::string &Name, const Object &Each) {
  return {{"meta",
           {{"name", Name},
            {"revision", Each.Revision_},
            {"created", Each.Created_},
            {"finalizers", Json::array()},
            {"deleting", false}}},
          {"spec", Each.Spec_},
          {"status", nullptr}};
}

} // namespace medlarmoor::bench::soak
