#ifndef MEDLARMOOR_OBJECTS_ANSWER_PROCESSOR_HPP
#define MEDLARMOOR_OBJECTS_ANSWER_PROCESSOR_HPP

#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/net/http_response.hpp>
#include <medlarmoor/objects/collection_codec.hpp>
#include <medlarmoor/objects/follower.hpp>
#include <medlarmoor/objects/latest.hpp>
#include <medlarmoor/telemetry/counter.hpp>
#include <medlarmoor/telemetry/event_log.hpp>
#include <medlarmoor/telemetry/registry.hpp>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace medlarmoor::objects {

/// Processes the store's answers for one collection: records them in the
/// Follower, which decides what to call next, and passes their contents to the
/// handlers. Performs no I/O.
template <typename Item> class AnswerProcessor {
public:
  using Items = std::vector<StoredItem<Item>>;

  struct Handlers {
    /// Receives a complete list.
    std::function<void(Items)> OnListed_;
    /// Receives the changes since the previous list or changes.
    std::function<void(Items)> OnChanged_;
    /// Called when a watch has ended without new changes.
    std::function<void()> OnUnchanged_;
    /// Called when the store answers again after an outage, or for the first
    /// time after a restore, before the handler that receives its answer.
    std::function<void()> OnStoreRecovered_;
  };

  /// Name identifies the collection in logs and metrics.
  AnswerProcessor(std::string Name, CollectionCodec<Item> Codec,
                  Follower Collection, Handlers Callbacks,
                  telemetry::Registry &Metrics, telemetry::EventLog &Log)
      : Name_(std::move(Name)), Codec_(std::move(Codec)),
        Follower_(std::move(Collection)), Handlers_(std::move(Callbacks)),
        Failures_(Metrics.counter("medlarmoor_store_failures_total",
                                  "collection=\"" + Name_ + "\"")),
        EpochGauge_(Metrics.gauge("medlarmoor_store_epoch",
                                  "collection=\"" + Name_ + "\"")),
        RevisionGauge_(Metrics.gauge("medlarmoor_store_revision",
                                     "collection=\"" + Name_ + "\"")),
        Log_(Log) {}

  [[nodiscard]] const Follower &follower() const noexcept { return Follower_; }
  /// Returns the follower in order to record revisions that peers announce or
  /// send.
  [[nodiscard]] Follower &follower() noexcept { return Follower_; }
  /// Returns the target of the request for a call that the follower requests.
  [[nodiscard]] std::string target(const StoreCall &Call) const {
    return std::visit(Overloaded{[this](const ListCall &List) {
                                   return Codec_.ListTarget_(List.After_);
                                 },
                                 [this](const WatchCall &Watch) {
                                   return Codec_.WatchTarget_(
                                       Watch.Revision_.Number_, Watch.Wait_);
                                 }},
                      Call);
  }

  /// Processes the answer to a call that was sent at Sent. Answer has no value
  /// if there was none; Reason then says why.
  void process(const StoreCall &Call, std::optional<net::HttpResponse> Answer,
               std::string Reason, TimePoint Sent, TimePoint Now) {
    constexpr unsigned Ok = 200;
    constexpr unsigned Gone = 410;
    if (Answer)
      recordEpoch(Codec_.ReadEpoch_(Answer->Headers_));
    const auto *Watch = std::get_if<WatchCall>(&Call);
    if (Answer && Answer->Status_ == Gone && Watch) {
      Log_.info("store_history_lost",
                {{"collection", Name_},
                 {"epoch", Follower_.revision().Epoch_.value()},
                 {"revision", Follower_.revision().Number_}});
      recordRecovery(Now);
      return Follower_.recordHistoryLoss(Watch->Revision_, Now);
    }
    if (Answer && Answer->Status_ != Ok)
      Reason = "HTTP status " + std::to_string(Answer->Status_);
    std::optional<Page<Item>> Received;
    if (Answer && Answer->Status_ == Ok)
      Received = Codec_.Read_(Answer->Body_, Reason);
    if (!Received) {
      handleFailure(Reason, Now);
      if (Answer)
        Follower_.recordEpoch(Codec_.ReadEpoch_(Answer->Headers_));
      return;
    }
    recordRecovery(Now);
    const StoreRevision Revision{Codec_.ReadEpoch_(Answer->Headers_),
                                 Received->Revision_};
    if (Watch)
      handleChanges(Watch->Revision_, std::move(*Received), Revision, Sent,
                    Now);
    else
      handlePage(std::move(*Received), Revision, Sent, Now);
  }

private:
  void handlePage(Page<Item> Received, StoreRevision Revision, TimePoint Sent,
                  TimePoint Now) {
    for (StoredItem<Item> &Listed : Received.Items_)
      Listed_.push_back(std::move(Listed));
    if (Follower_.recordPage(Received.More_, Received.LastName_, Revision, Sent,
                             Now))
      Handlers_.OnListed_(std::exchange(Listed_, {}));
    else if (!Follower_.listInProgress())
      Listed_.clear();
  }

  void handleChanges(StoreRevision Since, Page<Item> Received,
                     StoreRevision Revision, TimePoint Sent, TimePoint Now) {
    const bool IsNew = Follower_.recordChanges(Since, !Received.Items_.empty(),
                                               Revision, Sent, Now);
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
                               {"revision", Follower_.revision().Number_}});
    Follower_.recordFailure(Now);
    Listed_.clear();
  }

  void recordEpoch(StoreEpoch Answering) {
    const StoreEpoch Known =
        std::max(Epoch_.value_or(StoreEpoch()), Follower_.revision().Epoch_);
    const bool IsRestored =
        (Epoch_ || Follower_.currentAsOf()) && Answering > Known;
    if (IsRestored)
      Log_.warn("store_restored", {{"collection", Name_},
                                   {"epoch", Answering.value()},
                                   {"previous_epoch", Known.value()},
                                   {"revision", Follower_.revision().Number_}});
    Epoch_ = std::max(Known, Answering);
    EpochGauge_.set(static_cast<std::int64_t>(Epoch_->value()));
    RevisionGauge_.set(static_cast<std::int64_t>(Follower_.revision().Number_));
    // Entries that the copy lacks may be written again, as after an outage.
    if (IsRestored)
      Handlers_.OnStoreRecovered_();
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
  CollectionCodec<Item> Codec_;
  Follower Follower_;
  Handlers Handlers_;
  telemetry::Counter &Failures_;
  telemetry::Gauge &EpochGauge_;
  telemetry::Gauge &RevisionGauge_;
  telemetry::EventLog &Log_;
  /// Pages of the list in progress.
  Items Listed_;
  /// The highest epoch of the store's answers; no value before the first one.
  std::optional<StoreEpoch> Epoch_;
};

} // namespace medlarmoor::objects

#endif // MEDLARMOOR_OBJECTS_ANSWER_PROCESSOR_HPP
