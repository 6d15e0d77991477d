#include <harness/json_http.hpp>
#include <harness/object_store.hpp>
#include <harness/platform_faults.hpp>
#include <harness/platform_server.hpp>
#include <harness/text.hpp>

#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/net/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>

namespace medlarmoor::harness {

namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr std::size_t LargestValueBytes = 1'048'576;
constexpr Millis LongestWatch = Seconds(60);
constexpr std::size_t ConnectionsAtOnce = 8192;
const std::string InstanceKind = "instance";

json toJson(const StoredObject &Each) {
  json Out{{"kind", Each.Kind_},
           {"name", Each.Name_},
           {"version", Each.Version_},
           {"value", json::parse(Each.Value_, nullptr, false)}};
  if (Each.Deleted_)
    Out["deleted"] = true;
  return Out;
}

json itemsOf(std::uint64_t Revision,
             const std::vector<const StoredObject *> &Objects) {
  json Items = json::array();
  for (const StoredObject *Each : Objects)
    Items.push_back(toJson(*Each));
  return {{"revision", Revision}, {"items", std::move(Items)}};
}

net::HttpResponse writeResponse(const ObjectStore::Written &Done) {
  if (Done.Result_ == ObjectStore::Result::Missing)
    return jsonResponse(404, json::object());
  const unsigned Status =
      Done.Result_ == ObjectStore::Result::Conflict ? 409 : 200;
  return jsonResponse(Status, {{"version", Done.Version_}});
}

/// A watch that waits for a change.
struct Watch {
  std::string Kind_;
  std::string Prefix_;
  std::uint64_t After_;
  net::HttpReply Reply_;
  asio::steady_timer Timer_;
};

struct Counters {
  std::uint64_t Reads_ = 0;
  std::uint64_t Writes_ = 0;
  std::uint64_t Watches_ = 0;
  std::uint64_t Lists_ = 0;
  std::uint64_t Conflicts_ = 0;
  std::map<std::string, std::uint64_t> ByCaller_;
};

} // namespace

class PlatformServer::Impl {
public:
  Impl(asio::io_context &Io, Endpoint Api, Endpoint Harness)
      : Io_(Io), Api_(
                     Io, Api,
                     [this](net::HttpRequest Request, net::HttpReply Reply) {
                       onCall(Request, std::move(Reply));
                     },
                     limits()),
        Harness_(Io, Harness,
                 [this](net::HttpRequest Request, const net::HttpReply &Reply) {
                   Reply(onHarness(Request));
                 }) {}

  bool listen() {
    if (!Api_.listen())
      Reason_ = Api_.lastReason();
    else if (!Harness_.listen())
      Reason_ = Harness_.lastReason();
    return Reason_.empty();
  }

  [[nodiscard]] const std::string &reason() const noexcept { return Reason_; }

private:
  static net::HttpLimits limits() {
    net::HttpLimits Out;
    Out.Connections_ = ConnectionsAtOnce;
    return Out;
  }

  void onCall(const net::HttpRequest &Request, net::HttpReply Reply) {
    ++Counters_.ByCaller_[Request.From_.address().text()];
    if (Faults_.Hang_) {
      Held_.push_back(std::move(Reply));
      return;
    }
    if (Faults_.Outage_)
      return answer(std::move(Reply), jsonResponse(503, json::object()));
    const std::vector<std::string> Path = splitPath(Request.path());
    if (Path.size() < 2 || Path[0] != "v1")
      return answer(std::move(Reply), jsonResponse(404, json::object()));
    if (Path[1] == "objects" && Path.size() == 4)
      return onObject(Request, Path[2], Path[3], std::move(Reply));
    if (Path[1] == "objects" && Path.size() == 3)
      return onList(Request, Path[2], std::move(Reply));
    if (Path[1] == "watch" && Path.size() == 3)
      return onWatch(Request, Path[2], std::move(Reply));
    if (Path[1] == "instances")
      return onInstances(Request, std::move(Reply));
    answer(std::move(Reply), jsonResponse(404, json::object()));
  }

  void onObject(const net::HttpRequest &Request, const std::string &Kind,
                const std::string &Name, net::HttpReply Reply) {
    if (Request.Method_ == "GET") {
      ++Counters_.Reads_;
      const StoredObject *Found = Objects_.get(Kind, Name, readTime());
      return answer(std::move(Reply), Found
                                          ? jsonResponse(200, toJson(*Found))
                                          : jsonResponse(404, json::object()));
    }
    const bool Put = Request.Method_ == "PUT";
    if (!Put && Request.Method_ != "DELETE")
      return answer(std::move(Reply), jsonResponse(405, json::object()));
    if (Put && Request.Body_.size() > LargestValueBytes)
      return answer(std::move(Reply), jsonResponse(413, json::object()));
    if (Put && jsonBody(Request).is_discarded())
      return answer(std::move(Reply),
                    jsonResponse(400, {{"reason", "value is not JSON"}}));
    write(Request, Kind, Name, std::move(Reply));
  }

  void write(const net::HttpRequest &Request, const std::string &Kind,
             const std::string &Name, net::HttpReply Reply) {
    ++Counters_.Writes_;
    const std::optional<std::uint64_t> IfVersion =
        toNumber(Request.query("ifVersion"));
    const ObjectStore::Written Done =
        Request.Method_ == "PUT"
            ? Objects_.put(Kind, Name, Request.Body_, IfVersion, Clock_.now())
            : Objects_.remove(Kind, Name, IfVersion, Clock_.now());
    if (Done.Result_ == ObjectStore::Result::Conflict)
      ++Counters_.Conflicts_;
    wakeWatches();
    const std::uint32_t Every = Faults_.LoseAnswerEvery_;
    const bool Lost = Every != 0 && Counters_.Writes_ % Every == 0;
    if (!Lost)
      answer(std::move(Reply), writeResponse(Done));
  }

  void onList(const net::HttpRequest &Request, const std::string &Kind,
              net::HttpReply Reply) {
    ++Counters_.Lists_;
    const std::string Prefix = Request.query("prefix").value_or("");
    answer(std::move(Reply),
           jsonResponse(200, itemsOf(Objects_.revision(),
                                     Objects_.list(Kind, Prefix, readTime()))));
  }

  void onWatch(const net::HttpRequest &Request, const std::string &Kind,
               net::HttpReply Reply) {
    ++Counters_.Watches_;
    const std::uint64_t After = toNumber(Request.query("after")).value_or(0);
    if (!Objects_.remembers(After))
      return answer(std::move(Reply),
                    jsonResponse(410, {{"revision", Objects_.revision()}}));
    const Millis Asked(toNumber(Request.query("timeoutMs")).value_or(0));
    const auto Place = Watches_.insert(
        Watches_.end(), {Kind, Request.query("prefix").value_or(""), After,
                         std::move(Reply), asio::steady_timer(Io_)});
    if (answerIfChanged(Place))
      return;
    Place->Timer_.expires_after(std::min(Asked, LongestWatch));
    Place->Timer_.async_wait([this, Place](boost::system::error_code Failed) {
      if (Failed)
        return;
      if (Faults_.SilenceWatches_)
        return hold(Place);
      answer(std::move(Place->Reply_),
             jsonResponse(200, itemsOf(Objects_.revision(), {})));
      Watches_.erase(Place);
    });
  }

  using WatchPlace = std::list<Watch>::iterator;

  void hold(WatchPlace Place) {
    Held_.push_back(std::move(Place->Reply_));
    Watches_.erase(Place);
  }

  /// Answers and forgets the watch when something changed.
  bool answerIfChanged(WatchPlace Place) {
    const auto Changed =
        Objects_.changedAfter(Place->Kind_, Place->Prefix_, Place->After_);
    if (Changed.empty() || Faults_.SilenceWatches_)
      return false;
    answer(std::move(Place->Reply_),
           jsonResponse(200, itemsOf(Objects_.revision(), Changed)));
    Watches_.erase(Place);
    return true;
  }

  void wakeWatches() {
    for (auto Place = Watches_.begin(); Place != Watches_.end();)
      answerIfChanged(Place++);
  }

  void failWatches() {
    for (Watch &Each : Watches_)
      answer(std::move(Each.Reply_), jsonResponse(503, json::object()));
    Watches_.clear();
  }

  void onInstances(const net::HttpRequest &Request, net::HttpReply Reply) {
    ++Counters_.Lists_;
    const std::string Domain = Request.query("domain").value_or("");
    json Out = json::array();
    for (const StoredObject *Each :
         Instances_.list(InstanceKind, "", Clock_.now() - Faults_.ListLag_)) {
      json Instance = json::parse(Each->Value_);
      if (!Domain.empty() && Instance.value("domain", "") != Domain)
        continue;
      Instance["name"] = Each->Name_;
      Out.push_back(std::move(Instance));
    }
    answer(std::move(Reply),
           jsonResponse(200, {{"revision", Instances_.revision()},
                              {"instances", std::move(Out)}}));
  }

  void answer(net::HttpReply Reply, net::HttpResponse Response) {
    Response.Headers_.add("Store-Era", std::to_string(Epoch_));
    if (Faults_.Delay_.count() == 0)
      return Reply(std::move(Response));
    const auto Timer =
        std::make_shared<asio::steady_timer>(Io_, Faults_.Delay_);
    Timer->async_wait(
        [Timer, Reply = std::move(Reply), Response = std::move(Response)](
            boost::system::error_code) { Reply(Response); });
  }

  [[nodiscard]] TimePoint readTime() const {
    return Clock_.now() - Faults_.Stale_;
  }

  net::HttpResponse onHarness(const net::HttpRequest &Request) {
    const std::vector<std::string> Path = splitPath(Request.path());
    const json Body = jsonBody(Request);
    if (Request.path() == "/counters")
      return jsonResponse(200, countersJson());
    if (Request.path() == "/healthz")
      return jsonResponse(200, json::object());
    if (Request.path() == "/control" && Body.is_object())
      return control(Body);
    if (Path.size() != 2 || Path[0] != "instances")
      return jsonResponse(404, json::object());
    if (Request.Method_ == "DELETE")
      return writeResponse(
          Instances_.remove(InstanceKind, Path[1], std::nullopt, Clock_.now()));
    if (Request.Method_ != "PUT" || !Body.is_object())
      return jsonResponse(400, json::object());
    return writeResponse(Instances_.put(InstanceKind, Path[1], Request.Body_,
                                        std::nullopt, Clock_.now()));
  }

  net::HttpResponse control(const json &Asked) {
    PlatformFaults &To = Faults_;
    To.Outage_ = Asked.value("outage", To.Outage_);
    To.Hang_ = Asked.value("hang", To.Hang_);
    To.Delay_ = Millis(Asked.value("delayMs", To.Delay_.count()));
    To.LoseAnswerEvery_ = Asked.value("loseAnswerEvery", To.LoseAnswerEvery_);
    To.Stale_ = Millis(Asked.value("staleMs", To.Stale_.count()));
    To.SilenceWatches_ = Asked.value("silenceWatches", To.SilenceWatches_);
    To.ListLag_ = Millis(Asked.value("listLagMs", To.ListLag_.count()));
    if (Asked.contains("restoreMs")) {
      // Watches of the lost history are cut off.
      failWatches();
      Objects_.restore(Clock_.now() - Millis(Asked["restoreMs"].get<int>()));
      ++Epoch_;
    }
    if (To.Outage_)
      failWatches();
    if (!To.Hang_ && !To.SilenceWatches_) {
      Held_.clear();
      wakeWatches();
    }
    return jsonResponse(200, json::object());
  }

  [[nodiscard]] json countersJson() const {
    return {
        {"reads", Counters_.Reads_},         {"writes", Counters_.Writes_},
        {"watches", Counters_.Watches_},     {"lists", Counters_.Lists_},
        {"conflicts", Counters_.Conflicts_}, {"byCaller", Counters_.ByCaller_}};
  }

  asio::io_context &Io_;
  net::HttpServer Api_;
  net::HttpServer Harness_;
  std::string Reason_;
  Clock Clock_;
  PlatformFaults Faults_;
  Counters Counters_;
  ObjectStore Objects_;
  /// Number of the store's epoch; rises with each restore.
  std::uint64_t Epoch_ = 1;
  ObjectStore Instances_;
  std::list<Watch> Watches_;
  /// Calls that hang, their connections open.
  std::list<net::HttpReply> Held_;
};

PlatformServer::PlatformServer(asio::io_context &Io, Endpoint Api,
                               Endpoint Harness)
    : Impl_(std::make_unique<Impl>(Io, Api, Harness)) {}

PlatformServer::~PlatformServer() = default;

bool PlatformServer::listen() { return Impl_->listen(); }

const std::string &PlatformServer::lastReason() const noexcept {
  return Impl_->reason();
}

} // namespace medlarmoor::harness
