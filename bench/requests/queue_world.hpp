#ifndef MEDLARMOOR_BENCH_REQUESTS_QUEUE_WORLD_HPP
#define MEDLARMOOR_BENCH_REQUESTS_QUEUE_WORLD_HPP

#include <bench/requests/fake_upstream.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/random.hpp>
#include <medlarmoor/request/dispatcher.hpp>

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace medlarmoor::bench {

/// Who decides which upstream runs a request.
enum class Balancing : unsigned char {
  /// Each entry takes any upstream.
  Random,
  /// Each entry takes the better of two by the load that they report.
  TwoChoicesReported,
  /// Each entry takes the better of two by its own open requests.
  TwoChoicesOwn,
  /// One first-come-first-served queue over all slots, without messages.
  OneQueue,
  /// The request door's dispatcher.
  Medlarmoor,
};

/// What is simulated.
struct QueuePlan {
  Balancing Balancing_ = Balancing::Medlarmoor;
  upstream::PoolPolicy Pool_;
  std::uint64_t Seed_ = 1;
  std::size_t Entries_ = 5;
  std::size_t Upstreams_ = 15;
  Millis Service_{50};
  Millis Deadline_ = Seconds(2);
  double OnceShare_ = 0.5;
  /// Offered load as a share of all slots at a moment of the run.
  std::function<double(double Second)> Load_ = [](double) { return 0.75; };
  double Seconds_ = 60;
  /// Calls that a caller makes for one request at most; more than one after
  /// the other as soon as one failed.
  unsigned Calls_ = 1;
  /// Changes the upstreams before the start.
  std::function<void(std::vector<FakeUpstream> &, TimePoint Start)> Faults_;
  /// Upstreams from this number on join later, at JoinSecond_.
  std::size_t JoinFrom_ = SIZE_MAX;
  double JoinSecond_ = 0;
  /// Load that others put on the first OthersUpstreams_ upstreams, as a share
  /// of their slots.
  double OthersLoad_ = 0;
  std::size_t OthersUpstreams_ = 5;
  /// How old the reported load is.
  Millis ReportAge_{200};
};

/// What callers and upstreams saw.
struct QueueFigures {
  std::uint64_t Offered_ = 0;
  std::uint64_t Done_ = 0;
  std::uint64_t NotRun_ = 0;
  std::uint64_t Unknown_ = 0;
  std::uint64_t Late_ = 0;
  std::uint64_t DoubleRuns_ = 0;
  std::uint64_t FalseNotRun_ = 0;
  std::uint64_t OverSlots_ = 0;
  std::uint64_t Attempts_ = 0;
  /// Wait until service began, in service times.
  double MeanWait_ = 0;
  double P99Wait_ = 0;
  /// Busiest upstream over the mean, by busy time.
  double Imbalance_ = 0;
  /// Done in time for each second of the run and, in the same order, mean wait.
  std::vector<double> DoneBySecond_;
  std::vector<double> WaitBySecond_;
};

/// A failure domain in simulated time: callers, entries and upstreams, with
/// the dispatcher's own decision objects or a baseline between them.
class QueueWorld {
public:
  explicit QueueWorld(QueuePlan Plan);
  ~QueueWorld();

  /// Simulates the whole run.
  [[nodiscard]] QueueFigures run();

private:
  struct Call;
  struct Door;
  struct Event {
    TimePoint At_;
    std::uint64_t Order_ = 0;
    std::function<void()> Run_;
    friend bool operator<(const Event &A, const Event &B) {
      return std::pair(B.At_, B.Order_) < std::pair(A.At_, A.Order_);
    }
  };
  using CallPtr = std::shared_ptr<Call>;
  using Ended = std::function<void(upstream::AttemptResult, Nanos)>;

  void later(Nanos Delay, std::function<void()> Run);
  void arrive();
  void arriveElsewhere();
  void submit(const CallPtr &Of);
  void choose(const CallPtr &Of);
  void dispatch(const CallPtr &Of);
  void pump();
  void act(const request::Send &Of);
  void act(const request::Resolve &Of);
  void startQueued();
  void runAt(std::size_t Upstream, const CallPtr &Of, Ended Done);
  void begin(std::size_t Upstream, const CallPtr &Of, Ended Done);
  void end(const CallPtr &Of, request::Outcome How);
  void sample();
  [[nodiscard]] std::uint32_t reported(const FakeUpstream &Of) const;
  [[nodiscard]] QueueFigures figures();
  [[nodiscard]] double second(TimePoint At) const;

  QueuePlan Plan_;
  std::shared_ptr<ManualClock> Clock_ = std::make_shared<ManualClock>();
  TimePoint Start_ = Clock_->now();
  Random Random_;
  std::priority_queue<Event> Events_;
  std::uint64_t Order_ = 0;
  std::vector<FakeUpstream> Upstreams_;
  std::vector<CallPtr> Calls_;
  /// Open requests by entry and upstream.
  std::vector<std::vector<std::uint32_t>> Open_;
  std::deque<CallPtr> OneQueue_;
  std::unique_ptr<Door> Door_;
  QueueFigures Figures_;
  bool Pumping_ = false;
};

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_REQUESTS_QUEUE_WORLD_HPP
