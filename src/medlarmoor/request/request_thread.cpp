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

constexpr Millis TickTime{20};
constexpr Millis ExplainTime = Seconds(1);
/// Connections that were opened before the callers learnt of the stop are
/// still accepted for this long.
constexpr Millis AcceptAfterHandover{500};

Random seeded() {
  std::random_device Device;
  std::seed_seq Seed{Device(), Device(), Device(), Device()};
  return Random(Seed);
}

} // namespace

class RequestThread::Impl {
public:
  Impl(const config::Settings &Own, Mailbox<config::InForcePtr> &FromConfig,
       Mailbox<membership::ViewPtr> &Views, Clock Time,
       telemetry::Registry &Metrics, telemetry::EventLog &Log,
       telemetry::SpanLog &Spans)
      : FromConfig_(FromConfig), Views_(Views), Log_(Log), Counts_(Metrics),
        Router_(Io_, Own, Time, Counts_, Log, Spans, seeded()),
        Callers_(
            Io_, {Own.Address_, Own.Ports_.Requests_}, limit(),
            [this](HttpMessage Message, CallerStream From, bool Close) {
              return Router_.answerCaller(std::move(Message), std::move(From),
                                          Close);
            },
            refuse()),
        Entries_(
            Io_, {Own.Address_, Own.Ports_.Internal_}, limit(),
            [this](HttpMessage Message, CallerStream From, bool Close) {
              return Router_.answerEntry(std::move(Message), std::move(From),
                                         Close);
            },
            refuse()),
        ConfigWake_(Io_, dup(FromConfig.descriptor())),
        ViewWake_(Io_, dup(Views.descriptor())), Timer_(Io_) {}

  bool start() {
    if (!Callers_.listen() || !Entries_.listen()) {
      Reason_ = Callers_.lastReason() + Entries_.lastReason();
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
      Callers_.drain();
    });
  }

  [[nodiscard]] bool handedOver() const { return HandedOver_; }

  std::string explain(const std::string &Key) {
    auto Answer = std::make_shared<std::promise<std::string>>();
    std::future<std::string> Got = Answer->get_future();
    asio::post(Io_, [this, Key, Answer] {
      Answer->set_value(Router_.explain(IdempotencyKey(Key)));
    });
    if (Got.wait_for(ExplainTime) != std::future_status::ready)
      return R"({"error":"the request thread is busy"})";
    return Got.get();
  }

  [[nodiscard]] const std::string &reason() const noexcept { return Reason_; }

private:
  internal::BodyLimit limit() {
    return
        [this](std::string_view Target) { return Router_.bodyLimit(Target); };
  }

  internal::TooLargeHandler refuse() {
    return [this](CallerStream From) {
      return Router_.refuseTooLarge(std::move(From));
    };
  }

  void run() {
    while (!Io_.stopped()) {
      try {
        Io_.run();
      } catch (const std::exception &Thrown) {
        Log_.error("request_thread_exception", {{"what", Thrown.what()}});
      }
    }
  }

  void awaitConfig() {
    ConfigWake_.async_wait(asio::posix::stream_descriptor::wait_read,
                           [this](boost::system::error_code Stopped) {
                             if (Stopped)
                               return;
                             FromConfig_.clearWake();
                             while (auto Now = FromConfig_.pop())
                               Router_.onConfig(std::move(*Now));
                             awaitConfig();
                           });
  }

  void awaitViews() {
    ViewWake_.async_wait(asio::posix::stream_descriptor::wait_read,
                         [this](boost::system::error_code Stopped) {
                           if (Stopped)
                             return;
                           Views_.clearWake();
                           while (auto Now = Views_.pop())
                             Router_.onView(std::move(*Now));
                           awaitViews();
                         });
  }

  void tick() {
    Timer_.expires_after(TickTime);
    Timer_.async_wait([this](boost::system::error_code Stopped) {
      if (Stopped)
        return;
      Counts_.Ticks_.add();
      Router_.tick();
      reviewHandover();
      tick();
    });
  }

  void reviewHandover() {
    if (!Router_.handoffComplete() || HandedOver_)
      return;
    const auto Now = std::chrono::steady_clock::now();
    if (!CloseAt_)
      CloseAt_ = Now + AcceptAfterHandover;
    if (Now < *CloseAt_)
      return;
    Callers_.close();
    HandedOver_ = Callers_.open() == 0;
  }

  Mailbox<config::InForcePtr> &FromConfig_;
  Mailbox<membership::ViewPtr> &Views_;
  telemetry::EventLog &Log_;
  asio::io_context Io_{1};
  internal::RequestMetrics Counts_;
  internal::Router Router_;
  internal::Listener Callers_;
  internal::Listener Entries_;
  asio::posix::stream_descriptor ConfigWake_;
  asio::posix::stream_descriptor ViewWake_;
  asio::steady_timer Timer_;
  std::optional<std::chrono::steady_clock::time_point> CloseAt_;
  std::atomic<bool> HandedOver_{false};
  std::thread Thread_;
  std::string Reason_;
};

RequestThread::RequestThread(const config::Settings &Own,
                             Mailbox<config::InForcePtr> &FromConfig,
                             Mailbox<membership::ViewPtr> &Views, Clock Time,
                             telemetry::Registry &Metrics,
                             telemetry::EventLog &Log,
                             telemetry::SpanLog &Spans)
    : Impl_(std::make_unique<Impl>(Own, FromConfig, Views, std::move(Time),
                                   Metrics, Log, Spans)) {}

RequestThread::~RequestThread() { stop(); }

bool RequestThread::start() { return Impl_->start(); }

void RequestThread::stop() { Impl_->stop(); }

void RequestThread::leave() { Impl_->leave(); }

bool RequestThread::handedOver() const { return Impl_->handedOver(); }

std::string RequestThread::explain(const std::string &Key) {
  return Impl_->explain(Key);
}

const std::string &RequestThread::lastReason() const noexcept {
  return Impl_->reason();
}

} // namespace medlarmoor::request
