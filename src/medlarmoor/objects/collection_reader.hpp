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

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace medlarmoor::objects {

/// Keeps one collection of the store current: makes the calls that its Follower
/// requests and passes their results to the handlers.
template <typename Item> class CollectionReader {
public:
  using Items = std::vector<StoredItem<Item>>;

  /// Called on the io_context's thread.
  struct Handlers {
    /// Receives a complete list.
    std::function<void(Items)> OnListed_;
    /// Receives the changes since the previous list or changes.
    std::function<void(Items)> OnChanged_;
    /// Called when a watch has ended without new changes.
    std::function<void()> OnUnchanged_;
    /// Called when the store answers again after an outage, before the handler
    /// that receives its answer.
    std::function<void()> OnStoreRecovered_;
  };

  /// Name identifies the collection in logs and metrics. Source is the local
  /// address of connections.
  CollectionReader(std::string Name, boost::asio::io_context &Io,
                   Endpoint Store, Ipv4 Source, CollectionCodec<Item> Codec,
                   FollowerTiming Timing, Random Generator, Clock Time,
                   Handlers Callbacks, telemetry::Registry &Metrics,
                   telemetry::EventLog &Log)
      : Name_(std::move(Name)), Http_(Io, Source), Store_(Store),
        Codec_(std::move(Codec)), Timing_(Timing), Follower_(Timing, Generator),
        Time_(Time), Handlers_(std::move(Callbacks)), Timer_(Io),
        Calls_(Metrics.counter("medlarmoor_store_calls_total",
                               "collection=\"" + Name_ + "\"")),
        Failures_(Metrics.counter("medlarmoor_store_failures_total",
                                  "collection=\"" + Name_ + "\"")),
        Times_(Metrics.histogram("medlarmoor_store_call_seconds",
                                 "collection=\"" + Name_ + "\"")),
        EpochGauge_(Metrics.gauge("medlarmoor_store_epoch",
                                  "collection=\"" + Name_ + "\"")),
        RevisionGauge_(Metrics.gauge("medlarmoor_store_revision",
                                     "collection=\"" + Name_ + "\"")),
        Log_(Log) {}

  /// Begins to follow the collection.
  void start() { step(); }

  [[nodiscard]] const Follower &follower() const noexcept { return Follower_; }
  /// Returns the follower in order to record revisions that peers announce or
  /// send.
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
                   [this](const Pause &Step) { pause(Step.Until_); }},
        Follower_.next(Time_.now()));
  }

  void pause(TimePoint Until) {
    Timer_.expires_after(std::max(Nanos(0), Until - Time_.now()));
    // A cancelled timer also ends the pause.
    Timer_.async_wait([this](boost::system::error_code) { step(); });
  }

  void send(std::string Target, Millis Wait, bool IsList) {
    Calls_.add();
    net::HttpRequest Request;
    Request.Target_ = std::move(Target);
    Http_.send(
        Store_, std::move(Request), Wait + Timing_.CallTimeout_,
        [this, IsList, Sent = Time_.now()](
            std::optional<net::HttpResponse> Answer, std::string Reason) {
          handleAnswer(std::move(Answer), std::move(Reason), IsList, Sent);
          step();
        });
  }

  void handleAnswer(std::optional<net::HttpResponse> Answer, std::string Reason,
                    bool IsList, TimePoint Sent) {
    constexpr unsigned Ok = 200;
    constexpr unsigned Gone = 410;
    const TimePoint Now = Time_.now();
    Times_.record(Now - Sent);
    if (Answer)
      recordEpoch(Codec_.ReadEpoch_(Answer->Headers_));
    if (Answer && Answer->Status_ == Gone) {
      Log_.info("store_history_lost",
                {{"collection", Name_}, {"revision", Follower_.revision()}});
      recordRecovery(Now);
      return Follower_.recordHistoryLoss(Now);
    }
    if (Answer && Answer->Status_ != Ok)
      Reason = "HTTP status " + std::to_string(Answer->Status_);
    std::optional<Page<Item>> Received;
    if (Answer && Answer->Status_ == Ok)
      Received = Codec_.Read_(Answer->Body_, Reason);
    if (!Received)
      return handleFailure(Reason, Now);
    recordRecovery(Now);
    if (IsList)
      handlePage(std::move(*Received), Sent, Now);
    else
      handleChanges(std::move(*Received), Sent, Now);
  }

  void handlePage(Page<Item> Received, TimePoint Sent, TimePoint Now) {
    for (StoredItem<Item> &Listed : Received.Items_)
      Listed_.push_back(std::move(Listed));
    if (Follower_.recordPage(Received.More_, Received.LastName_,
                             Received.Revision_, Sent, Now))
      Handlers_.OnListed_(std::exchange(Listed_, {}));
    else if (!Received.More_)
      Listed_.clear();
  }

  void handleChanges(Page<Item> Received, TimePoint Sent, TimePoint Now) {
    const bool IsNew = Follower_.recordChanges(!Received.Items_.empty(),
                                               Received.Revision_, Sent, Now);
    if (IsNew && !Received.Items_.empty())
      Handlers_.OnChanged_(latest(std::move(Received.Items_)));
    else
      Handlers_.OnUnchanged_();
  }

  void handleFailure(const std::string &Reason, TimePoint Now) {
    Failures_.add();
    if (!Follower_.failingSince())
      Log_.warn("store_lost", {{"collection", Name_},
                               {"reason", Reason},
                               {"revision", Follower_.revision()}});
    Follower_.recordFailure(Now);
    Listed_.clear();
  }

  void recordEpoch(StoreEpoch Answering) {
    if (Epoch_ && Answering > *Epoch_)
      Log_.warn("store_restored", {{"collection", Name_},
                                   {"epoch", Answering.value()},
                                   {"previous_epoch", Epoch_->value()},
                                   {"revision", Follower_.revision()}});
    Epoch_ = std::max(Epoch_.value_or(Answering), Answering);
    EpochGauge_.set(static_cast<std::int64_t>(Epoch_->value()));
    RevisionGauge_.set(static_cast<std::int64_t>(Follower_.revision()));
  }

  void recordRecovery(TimePoint Now) {
    if (!Follower_.failingSince())
      return;
    const auto Downtime =
        std::chrono::duration_cast<Millis>(Now - *Follower_.failingSince());
    Log_.info("store_regained",
              {{"collection", Name_}, {"away_ms", Downtime.count()}});
    if (Follower_.inOutage(Now))
      Handlers_.OnStoreRecovered_();
  }

  std::string Name_;
  net::HttpClient Http_;
  Endpoint Store_;
  CollectionCodec<Item> Codec_;
  FollowerTiming Timing_;
  Follower Follower_;
  Clock Time_;
  Handlers Handlers_;
  boost::asio::steady_timer Timer_;
  telemetry::Counter &Calls_;
  telemetry::Counter &Failures_;
  telemetry::Histogram &Times_;
  telemetry::Gauge &EpochGauge_;
  telemetry::Gauge &RevisionGauge_;
  telemetry::EventLog &Log_;
  Items Listed_;
  /// The highest epoch of the store's answers; no value before the first one.
  std::optional<StoreEpoch> Epoch_;
};

} // namespace medlarmoor::objects

#endif // MEDLARMOOR_OBJECTS_COLLECTION_READER_HPP
