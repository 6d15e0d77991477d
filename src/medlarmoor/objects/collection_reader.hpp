#ifndef MEDLARMOOR_OBJECTS_COLLECTION_READER_HPP
#define MEDLARMOOR_OBJECTS_COLLECTION_READER_HPP

#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/net/http_client.hpp>
#include <medlarmoor/objects/answer_processor.hpp>
#include <medlarmoor/telemetry/counter.hpp>
#include <medlarmoor/telemetry/event_log.hpp>
#include <medlarmoor/telemetry/registry.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace medlarmoor::objects {

/// Keeps one collection of the store current: makes the calls that its Follower
/// requests and passes their answers to an AnswerProcessor.
template <typename Item> class CollectionReader {
public:
  using Items = typename AnswerProcessor<Item>::Items;
  /// Called on the io_context's thread.
  using Handlers = typename AnswerProcessor<Item>::Handlers;

  /// Name identifies the collection in logs and metrics. Source is the local
  /// address of connections.
  CollectionReader(const std::string &Name, boost::asio::io_context &Io,
                   Endpoint Store, Ipv4 Source, CollectionCodec<Item> Codec,
                   FollowerTiming Timing, Random Generator, Clock Time,
                   Handlers Callbacks, telemetry::Registry &Metrics,
                   telemetry::EventLog &Log)
      : Http_(Io, Source), Store_(Store), Timing_(Timing),
        Answers_(Name, std::move(Codec), Follower(Timing, Generator),
                 std::move(Callbacks), Metrics, Log),
        Time_(Time), Timer_(Io),
        Calls_(Metrics.counter("medlarmoor_store_calls_total",
                               "collection=\"" + Name + "\"")),
        Times_(Metrics.histogram("medlarmoor_store_call_seconds",
                                 "collection=\"" + Name + "\"")) {}

  /// Begins to follow the collection.
  void start() { step(); }

  [[nodiscard]] const Follower &follower() const noexcept {
    return Answers_.follower();
  }
  /// Returns the follower in order to record revisions that peers announce or
  /// send.
  [[nodiscard]] Follower &follower() noexcept { return Answers_.follower(); }

private:
  void step() {
    std::visit(
        Overloaded{[this](const ListCall &Call) { send(Call, Millis(0)); },
                   [this](const WatchCall &Call) { send(Call, Call.Wait_); },
                   [this](const Pause &Step) { pause(Step.Until_); }},
        Answers_.follower().next(Time_.now()));
  }

  void pause(TimePoint Until) {
    Timer_.expires_after(std::max(Nanos(0), Until - Time_.now()));
    // A cancelled timer also ends the pause.
    Timer_.async_wait([this](boost::system::error_code) { step(); });
  }

  void send(StoreCall Call, Millis Wait) {
    Calls_.add();
    net::HttpRequest Request;
    Request.Target_ = Answers_.target(Call);
    Http_.send(Store_, std::move(Request), Wait + Timing_.CallTimeout_,
               [this, Call = std::move(Call),
                Sent = Time_.now()](std::optional<net::HttpResponse> Answer,
                                    std::string Reason) {
                 const TimePoint Now = Time_.now();
                 Times_.record(Now - Sent);
                 Answers_.process(Call, std::move(Answer), std::move(Reason),
                                  Sent, Now);
                 step();
               });
  }

  net::HttpClient Http_;
  Endpoint Store_;
  FollowerTiming Timing_;
  AnswerProcessor<Item> Answers_;
  Clock Time_;
  boost::asio::steady_timer Timer_;
  telemetry::Counter &Calls_;
  telemetry::Histogram &Times_;
};

} // namespace medlarmoor::objects

#endif // MEDLARMOOR_OBJECTS_COLLECTION_READER_HPP
