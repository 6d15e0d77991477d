#include <medlarmoor/core/mailbox.hpp>
#include <medlarmoor/request/internal/listener.hpp>
#include <medlarmoor/request/internal/router.hpp>
#include <medlarmoor/request/request_thread.hpp>
#include <medlarmoor/telemetry/event_log.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <future>
#include <thread>

#include <unistd.h>

namespace medlarmoor::request {

namespace {

namespace asio = boost::asio;
using internal::CallerStream;
using internal::HttpMessage;

constexpr Millis TickInterval{20};
constexpr Millis ExplainTimeout = Seconds(1);
/// How long connections are still accepted after the handoff, since callers may
/// have opened them before they learned about the stop.
constexpr Millis AcceptAfterHandoff{500};

Random makeSeededRandom() {
  std::random_device Device;
  std::seed_seq Seed{Device(), Device(), Device(), Device()};
  return Random(Seed);
}

} // namespace

class RequestThread::Impl {
public:
  Impl(const config::Settings &Settings,
       Mailbox<config::ActiveConfigPtr> &ConfigUpdates,
       Mailbox<membership::ViewPtr> &Views, Clock Time,
       telemetry::Registry &Metrics, telemetry::EventLog &Log,
       telemetry::SpanLog &Spans)
      : ConfigUpdates_(ConfigUpdates), Views_(Views), Log_(Log),
        Metrics_(Metrics),
        Router_(Io_, Settings, Time, Metrics_, Log, Spans, makeSeededRandom()),
        CallerListener_(
            Io_, {Settings.Address_, Settings.Ports_.Requests_}, bodyLimit(),
            [this](HttpMessage Message, CallerStream Stream, bool CloseAfter) {
              return Router_.answerCaller(std::move(Message), std::move(Stream),
                                          CloseAfter);
            },
            tooLargeHandler()),
        EntryListener_(
            Io_, {Settings.Address_, Settings.Ports_.Internal_}, bodyLimit(),
            [this](HttpMessage Message, CallerStream Stream, bool CloseAfter) {
              return Router_.answerEntry(std::move(Message), std::move(Stream),
                                         CloseAfter);
            },
            tooLargeHandler()),
        ConfigWakeup_(Io_, dup(ConfigUpdates.descriptor())),
        ViewWakeup_(Io_, dup(Views.descriptor())), Timer_(Io_) {}

  bool start() {
    if (!CallerListener_.listen() || !EntryListener_.listen()) {
      LastReason_ = CallerListener_.lastReason() + EntryListener_.lastReason();
      return false;
    }
    awaitConfig();
    awaitViews();
    tick();
    Thread_ = std::thread([this] { run(); });
    return true;
  }

  void stop() {
    Io_.stop();
    if (Thread_.joinable())
      Thread_.join();
  }

  void leave() {
    asio::post(Io_, [this] {
      Router_.leave();
      CallerListener_.drain();
    });
  }

  [[nodiscard]] bool handoffComplete() const { return HandoffComplete_; }

  std::string explain(const std::string &Key) {
    auto Answer = std::make_shared<std::promise<std::string>>();
    std::future<std::string> Result = Answer->get_future();
    asio::post(Io_, [this, Key, Answer] {
      Answer->set_value(Router_.explain(IdempotencyKey(Key)));
    });
    if (Result.wait_for(ExplainTimeout) != std::future_status::ready)
      return R"({"error":"the request thread is busy"})";
    return Result.get();
  }

  [[nodiscard]] const std::string &lastReason() const noexcept {
    return LastReason_;
  }

private:
  internal::BodyLimit bodyLimit() {
    return
        [this](std::string_view Target) { return Router_.bodyLimit(Target); };
  }

  internal::TooLargeHandler tooLargeHandler() {
    return [this](CallerStream Stream) {
      return Router_.refuseTooLarge(std::move(Stream));
    };
  }

  void run() {
    while (!Io_.stopped()) {
      try {
        Io_.run();
      } catch (const std::exception &Exception) {
        Log_.error("request_thread_exception", {{"what", Exception.what()}});
      }
    }
  }

  void awaitConfig() {
    ConfigWakeup_.async_wait(asio::posix::stream_descriptor::wait_read,
                             [this](boost::system::error_code Error) {
                               if (Error)
                                 return;
                               ConfigUpdates_.clearWake();
                               while (auto Config = ConfigUpdates_.pop())
                                 Router_.onConfig(std::move(*Config));
                               awaitConfig();
                             });
  }

  void awaitViews() {
    ViewWakeup_.async_wait(asio::posix::stream_descriptor::wait_read,
                           [this](boost::system::error_code Error) {
                             if (Error)
                               return;
                             Views_.clearWake();
                             while (auto View = Views_.pop())
                               Router_.onView(std::move(*View));
                             awaitViews();
                           });
  }

  void tick() {
    Timer_.expires_after(TickInterval);
    Timer_.async_wait([this](boost::system::error_code Error) {
      if (Error)
        return;
      Metrics_.Ticks_.add();
      Router_.tick();
      reviewHandoff();
      tick();
    });
  }

  void reviewHandoff() {
    if (!Router_.handoffComplete() || HandoffComplete_)
      return;
    const auto Now = std::chrono::steady_clock::now();
    if (!CloseAt_)
      CloseAt_ = Now + AcceptAfterHandoff;
    if (Now < *CloseAt_)
      return;
    CallerListener_.close();
    HandoffComplete_ = CallerListener_.open() == 0;
  }

  Mailbox<config::ActiveConfigPtr> &ConfigUpdates_;
  Mailbox<membership::ViewPtr> &Views_;
  telemetry::EventLog &Log_;
  asio::io_context Io_{1};
  internal::RequestMetrics Metrics_;
  internal::Router Router_;
  internal::Listener CallerListener_;
  internal::Listener EntryListener_;
  asio::posix::stream_descriptor ConfigWakeup_;
  asio::posix::stream_descriptor ViewWakeup_;
  asio::steady_timer Timer_;
  std::optional<std::chrono::steady_clock::time_point> CloseAt_;
  std::atomic<bool> HandoffComplete_{false};
  std::thread Thread_;
  std::string LastReason_;
};

RequestThread::RequestThread(const config::Settings &Settings,
                             Mailbox<config::ActiveConfigPtr> &ConfigUpdates,
                             Mailbox<membership::ViewPtr> &Views, Clock Time,
                             telemetry::Registry &Metrics,
                             telemetry::EventLog &Log,
                             telemetry::SpanLog &Spans)
    : Impl_(std::make_unique<Impl>(Settings, ConfigUpdates, Views,
                                   std::move(Time), Metrics, Log, Spans)) {}

RequestThread::~RequestThread() { stop(); }

bool RequestThread::start() { return Impl_->start(); }

void RequestThread::stop() { Impl_->stop(); }

void RequestThread::leave() { Impl_->leave(); }

bool RequestThread::handoffComplete() const { return Impl_->handoffComplete(); }

std::string RequestThread::explain(const std::string &Key) {
  return Impl_->explain(Key);
}

const std::string &RequestThread::lastReason() const noexcept {
  return Impl_->lastReason();
}

} // namespace medlarmoor::request
