#ifndef MEDLARMOOR_HARNESS_RUN_HOST_HPP
#define MEDLARMOOR_HARNESS_RUN_HOST_HPP

#include <harness/raw_http_server.hpp>
#include <harness/run_record.hpp>
#include <harness/upstream_faults.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/random.hpp>

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarmoor::harness {

/// What an upstream counts of its requests.
struct RunCounters {
  std::uint64_t Running_ = 0;
  std::uint64_t RunningMax_ = 0;
  std::uint64_t Cancelled_ = 0;
  std::uint64_t Shed_ = 0;
  std::uint64_t Expired_ = 0;
};

/// The request side of one upstream: a few slots, a short queue, service times
/// drawn by seed, and answers that can be cut, crossed, late or sent twice.
class RunHost {
public:
  RunHost(boost::asio::io_context &Io, std::string Name, std::uint64_t Slots,
          std::uint64_t Seed, const UpstreamFaults &Faults);

  /// Takes `POST /run`; Answer may be called later.
  void onRun(const net::HttpRequest &Request, RawHttpServer::Reply Answer);
  /// Takes `POST /cancel`.
  void onCancel(const std::string &Attempt);
  /// Drops all work without an answer, as a restart does.
  void restart();

  [[nodiscard]] const RunCounters &counters() const noexcept {
    return Counters_;
  }
  [[nodiscard]] std::size_t queued() const noexcept { return Queue_.size(); }
  /// Every run so far, oldest first.
  [[nodiscard]] const std::vector<RunRecord> &runs() const noexcept {
    return Runs_;
  }
  /// Keys that ran more than once here.
  [[nodiscard]] std::uint64_t keysOverOne() const;

private:
  struct Job {
    std::string Key_;
    std::string Attempt_;
    bool Once_ = false;
    std::string Body_;
    std::optional<TimePoint> Deadline_;
    RawHttpServer::Reply Answer_;
    boost::asio::steady_timer Timer_;
    /// Drawn in order; a timer that fires late finds its job by it.
    std::uint64_t Number_ = 0;
  };
  using Jobs = std::list<Job>;

  void startNext();
  void run(Jobs::iterator Which);
  void finish(std::uint64_t Number);
  void send(Job Done);
  void cross(RawHttpServer::Reply Answer, std::string Bytes);
  void later(Millis Delay, RawHttpServer::Reply Answer, std::string Bytes);
  void refuse(const RawHttpServer::Reply &Answer, const char *Reason,
              const std::string &Attempt);
  [[nodiscard]] std::string answerOf(const Job &Done) const;
  [[nodiscard]] Micros serviceTime();

  boost::asio::io_context &Io_;
  std::string Name_;
  std::uint64_t Slots_;
  Random Random_;
  const UpstreamFaults &Faults_;
  Clock Clock_;
  TimePoint ColdSince_;
  RunCounters Counters_;
  std::vector<RunRecord> Runs_;
  Jobs Queue_;
  Jobs Running_;
  std::uint64_t LastNumber_ = 0;
  /// The answer that waits for another to be crossed with.
  std::optional<std::pair<RawHttpServer::Reply, std::string>> Uncrossed_;
  /// Requests that are never answered, their connections open.
  std::list<RawHttpServer::Reply> Held_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_RUN_HOST_HPP
