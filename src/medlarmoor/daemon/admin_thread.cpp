#include <medlarmoor/daemon/admin_thread.hpp>
#include <medlarmoor/net/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <thread>

namespace medlarmoor::daemon {

namespace {

constexpr Millis SamplePeriod{500};
constexpr net::HttpLimits AdminLimits{
    .BodyBytes_ = 4096, .Connections_ = 64, .Idle_ = Seconds(10)};

} // namespace

class AdminThread::Impl {
public:
  Impl(Endpoint Where, Page Answer, std::function<void()> Sample)
      : Answer_(std::move(Answer)), Sample_(std::move(Sample)),
        Server_(
            Io_, Where,
            [this](const net::HttpRequest &Request,
                   const net::HttpReply &Reply) { Reply(Answer_(Request)); },
            AdminLimits) {}

  bool start() {
    if (!Server_.listen())
      return false;
    Thread_ = std::thread([this] {
      sample();
      Io_.run();
    });
    return true;
  }

  void stop() {
    Io_.stop();
    if (Thread_.joinable())
      Thread_.join();
  }

  [[nodiscard]] const std::string &reason() const noexcept {
    return Server_.lastReason();
  }

private:
  void sample() {
    Sample_();
    Timer_.expires_after(SamplePeriod);
    Timer_.async_wait([this](boost::system::error_code Failed) {
      if (!Failed)
        sample();
    });
  }

  boost::asio::io_context Io_;
  boost::asio::steady_timer Timer_{Io_};
  Page Answer_;
  std::function<void()> Sample_;
  net::HttpServer Server_;
  std::thread Thread_;
};

AdminThread::AdminThread(Endpoint Where, Page Answer,
                         std::function<void()> Sample)
    : Impl_(std::make_unique<Impl>(Where, std::move(Answer),
                                   std::move(Sample))) {}

AdminThread::~AdminThread() { stop(); }

bool AdminThread::start() { return Impl_->start(); }

void AdminThread::stop() { Impl_->stop(); }

const std::string &AdminThread::lastReason() const noexcept {
  return Impl_->reason();
}

} // namespace medlarmoor::daemon
