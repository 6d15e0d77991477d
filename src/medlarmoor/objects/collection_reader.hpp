#ifndef MEDLARMOOR_OBJECTS_COLLECTION_READER_HPP
#define MEDLARMOOR_OBJECTS_COLLECTION_READER_HPP

#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/net/http_client.hpp>
#include <medlarmoor/objects/collection_codec.hpp>
#include <medlarmoor/objects/follower.hpp>
#include <medlarmoor/objects/latest.hpp>
#include <medlarmoor/telemetry/counter.hpp>
#include <medlarmoor/telemetry/event_log.hpp>
#include <medlarmoor/telemetry/registry.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace medlarmoor::objects {

/// Follows one collection of the store: makes the calls that its Follower asks
/// for and passes on what they give.
template <typename Item> class CollectionReader {
public:
  using Items = std::vector<StoredItem<Item>>;

  /// Receives what was read, on the io_context's thread.
  struct Handlers {
    /// A whole list.
    std::function<void(Items)> Listed_;
    /// Changes since the last call.
    std::function<void(Items)> Changed_;
    /// The store answers again after an outage; called before what it gave.
    std::function<void()> Returned_;
  };

  /// Name is what logs and metrics call the collection.
  CollectionReader(std::string Name, boost::asio::io_context &Io,
                   Endpoint Store, Ipv4 Source, CollectionCodec<Item> Codec,
                   FollowerTiming Timing, Random Generator, Clock Time,
                   Handlers Receivers, telemetry::Registry &Metrics,
                   telemetry::EventLog &Log)
      : Name_(std::move(Name)), Http_(Io, Source), Store_(Store),
        Codec_(std::move(Codec)), Timing_(Timing), Follower_(Timing, Generator),
        Time_(Time), Receivers_(std::move(Receivers)), Timer_(Io),
        Calls_(Metrics.counter("medlarmoor_store_calls_total",
                               "collection=\"" + Name_ + "\"")),
        Failures_(Metrics.counter("medlarmoor_store_failures_total",
                                  "collection=\"" + Name_ + "\"")),
        Times_(Metrics.histogram("medlarmoor_store_call_seconds",
                                 "collection=\"" + Name_ + "\"")),
        Log_(Log) {}

  /// Begins to follow.
  void start() { step(); }
  /// Looks again whether a call is due, when a pause may have ended early.
  void wake() { Timer_.cancel(); }

  [[nodiscard]] const Follower &follower() const noexcept { return Follower_; }
  /// For what peers pass on.
  [[nodiscard]] Follower &follower() noexcept { return Follower_; }

private:
  void step() {
    std::visit(
        Overloaded{[this](const ListCall &Call) {
                     send(Codec_.ListTarget_(Call.After_), Millis(0), true);
                   },
                   [this](const WatchCall &Call) {
                     send(Codec_.WatchTarget_(Call.Revision_, Call.Wait_),
                          Call.Wait_, false);
                   },
                   [this](const Pause &Call) { pause(Call.Until_); }},
        Follower_.next(Time_.now()));
  }

  void pause(TimePoint Until) {
    Timer_.expires_after(std::max(Nanos(0), Until - Time_.now()));
    // A pause that was cancelled is over, too.
    Timer_.async_wait([this](boost::system::error_code) { step(); });
  }

  void send(std::string Target, Millis Wait, bool List) {
    Calls_.add();
    net::HttpRequest Request;
    Request.Target_ = std::move(Target);
    Http_.send(Store_, std::move(Request), Wait + Timing_.CallTimeout_,
               [this, List,
                Sent = Time_.now()](std::optional<net::HttpResponse> Answer,
                                    std::string Reason) {
                 receive(std::move(Answer), std::move(Reason), List, Sent);
                 step();
               });
  }

  void receive(std::optional<net::HttpResponse> Answer, std::string Reason,
               bool List, TimePoint Sent) {
    constexpr unsigned Ok = 200;
    constexpr unsigned Gone = 410;
    const TimePoint Now = Time_.now();
    Times_.record(Now - Sent);
    if (Answer && Answer->Status_ == Gone) {
      Log_.info("store_history_lost",
                {{"collection", Name_}, {"revision", Follower_.revision()}});
      noteReturn(Now);
      return Follower_.historyLost(Now);
    }
    if (Answer && Answer->Status_ != Ok)
      Reason = "status " + std::to_string(Answer->Status_);
    std::optional<Page<Item>> Read;
    if (Answer && Answer->Status_ == Ok)
      Read = Codec_.Read_(Answer->Body_, Reason);
    if (!Read)
      return fail(Reason, Now);
    noteReturn(Now);
    if (List)
      takePage(std::move(*Read), Sent, Now);
    else
      takeChanges(std::move(*Read), Now);
  }

  void takePage(Page<Item> Read, TimePoint Sent, TimePoint Now) {
    for (StoredItem<Item> &Each : Read.Items_)
      Listed_.push_back(std::move(Each));
    if (Follower_.pageRead(Read.More_, Read.LastName_, Read.Revision_, Sent,
                           Now))
      Receivers_.Listed_(std::exchange(Listed_, {}));
    else if (!Read.More_)
      Listed_.clear();
  }

  void takeChanges(Page<Item> Read, TimePoint Now) {
    const bool News =
        Follower_.changesRead(!Read.Items_.empty(), Read.Revision_, Now);
    if (News && !Read.Items_.empty())
      Receivers_.Changed_(latest(std::move(Read.Items_)));
  }

  void fail(const std::string &Reason, TimePoint Now) {
    Failures_.add();
    if (!Follower_.failingSince())
      Log_.warn("store_lost", {{"collection", Name_},
                               {"reason", Reason},
                               {"revision", Follower_.revision()}});
    Follower_.failed(Now);
    Listed_.clear();
  }

  void noteReturn(TimePoint Now) {
    if (!Follower_.failingSince())
      return;
    const auto Away =
        std::chrono::duration_cast<Millis>(Now - *Follower_.failingSince());
    Log_.info("store_regained",
              {{"collection", Name_}, {"away_ms", Away.count()}});
    if (Follower_.storeAway(Now))
      Receivers_.Returned_();
  }

  std::string Name_;
  net::HttpClient Http_;
  Endpoint Store_;
  CollectionCodec<Item> Codec_;
  FollowerTiming Timing_;
  Follower Follower_;
  Clock Time_;
  Handlers Receivers_;
  boost::asio::steady_timer Timer_;
  telemetry::Counter &Calls_;
  telemetry::Counter &Failures_;
  telemetry::Histogram &Times_;
  telemetry::EventLog &Log_;
  Items Listed_;
};

} // namespace medlarmoor::objects

#endif // MEDLARMOOR_OBJECTS_COLLECTION_READER_HPP
