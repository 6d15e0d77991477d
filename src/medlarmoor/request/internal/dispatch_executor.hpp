#ifndef MEDLARMOOR_REQUEST_INTERNAL_DISPATCH_EXECUTOR_HPP
#define MEDLARMOOR_REQUEST_INTERNAL_DISPATCH_EXECUTOR_HPP

#include <medlarmoor/config/service.hpp>
#include <medlarmoor/request/dispatcher.hpp>
#include <medlarmoor/request/internal/ledger_replicator.hpp>
#include <medlarmoor/request/internal/open_request.hpp>
#include <medlarmoor/request/internal/request_metrics.hpp>
#include <medlarmoor/request/internal/tracer.hpp>

#include <map>
#include <memory>
#include <unordered_map>

namespace medlarmoor::request::internal {

/// Executes the actions that the dispatcher of one service decides: sends
/// attempts to upstreams, replicates ledger records to other entries and
/// resolves waiting requests.
class DispatchExecutor : public std::enable_shared_from_this<DispatchExecutor> {
public:
  DispatchExecutor(asio::io_context &Io, ConnectionPool &Pool,
                   LedgerReplicator &Replicator, RequestMetrics &Metrics,
                   Tracer &Traces, Dispatcher Decisions, Clock Time);

  /// Applies the configuration in force. Upstreams holds those upstreams of
  /// the service that this entry uses.
  void configure(const config::Service &Service,
                 std::vector<config::Upstream> Upstreams);
  /// Submits Request and waits until it is resolved or its deadline has passed.
  [[nodiscard]] Awaitable<Verdict> serve(OpenRequestPtr Request);
  /// Refuses or cancels Request; see Dispatcher::refuse(). With CancelRunning,
  /// a running request is cancelled at its upstream.
  [[nodiscard]] Awaitable<Verdict> refuse(OpenRequestPtr Request,
                                          bool CancelRunning);
  /// Withdraws Request because its caller has left.
  void withdraw(const OpenRequestPtr &Request);
  void tick();
  /// Resolves queued requests as moved, since this entry is no longer the
  /// dispatcher of the service.
  void redirectQueued();
  /// Requests a load report from each upstream that has no such request in
  /// flight. Call it while this entry dispatches the service.
  void pollLoads();
  /// Executes the actions that the dispatcher has decided, including those that
  /// follow from them.
  void runActions();

  [[nodiscard]] Dispatcher &dispatcher() noexcept { return Dispatcher_; }
  [[nodiscard]] const ServiceName &service() const noexcept { return Name_; }

private:
  void execute(const Send &Task);
  void execute(const Replicate &Task);
  void execute(const Announce &Task);
  void execute(const Resolve &Task);
  void execute(const Cancel &Task);

  [[nodiscard]] Awaitable<Verdict> awaitVerdict(OpenRequestPtr Request,
                                                Ticket Id);
  [[nodiscard]] Awaitable<void> attempt(Send Task, OpenRequestPtr Request);
  /// Keeps or relays an answer and returns how its attempt ended. Kept is set
  /// if the answer is small enough to be kept.
  [[nodiscard]] Awaitable<upstream::AttemptResult>
  processAnswer(const Send &Task, OpenRequestPtr Request, AnswerPtr Received,
                std::shared_ptr<const KeptAnswer> &Kept);
  [[nodiscard]] Awaitable<void> cancel(config::Upstream Target,
                                       AttemptId Attempt);
  [[nodiscard]] Awaitable<void> pollLoad(config::Upstream Target);

  asio::io_context &Io_;
  ConnectionPool &Pool_;
  LedgerReplicator &Replicator_;
  RequestMetrics &Metrics_;
  Tracer &Tracer_;
  Dispatcher Dispatcher_;
  Clock Time_;
  ServiceName Name_;
  std::vector<config::Upstream> Upstreams_;
  /// Upstreams whose load report is in flight.
  std::map<UpstreamName, bool> Polling_;
  std::unordered_map<Ticket, OpenRequestPtr> RequestByTicket_;
  std::unordered_map<const OpenRequest *, Ticket> TicketByRequest_;
  bool RunningActions_ = false;
};

} // namespace medlarmoor::request::internal

#endif // MEDLARMOOR_REQUEST_INTERNAL_DISPATCH_EXECUTOR_HPP
