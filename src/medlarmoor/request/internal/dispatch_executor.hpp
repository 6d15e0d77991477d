#ifndef MEDLARMOOR_REQUEST_INTERNAL_DISPATCH_EXECUTOR_HPP
#define MEDLARMOOR_REQUEST_INTERNAL_DISPATCH_EXECUTOR_HPP

#include <medlarmoor/config/service.hpp>
#include <medlarmoor/request/dispatcher.hpp>
#include <medlarmoor/request/internal/open_request.hpp>
#include <medlarmoor/request/internal/peers.hpp>
#include <medlarmoor/request/internal/request_metrics.hpp>
#include <medlarmoor/request/internal/tracer.hpp>

#include <map>
#include <memory>
#include <unordered_map>

namespace medlarmoor::request::internal {

/// Carries out what the dispatcher of one service decides: sends attempts,
/// brings copies to other entries, passes answers back.
class DispatchExecutor : public std::enable_shared_from_this<DispatchExecutor> {
public:
  DispatchExecutor(asio::io_context &Io, ConnectionPool &Pool, Peers &Others,
                   RequestMetrics &Counts, Tracer &Traces, Dispatcher Decides,
                   Clock Time);

  /// Takes the service as it is in force, and those of its upstreams that this
  /// entry uses.
  void configure(const config::Service &Now,
                 std::vector<config::Upstream> Upstreams);
  /// Submits Asked and waits until it is resolved or its deadline has passed.
  [[nodiscard]] Awaitable<Verdict> serve(OpenRequestPtr Asked);
  /// Refuses or cancels; see Dispatcher::refuse().
  [[nodiscard]] Awaitable<Verdict> refuse(OpenRequestPtr Asked, bool Stop);
  /// The caller of Asked has left.
  void withdraw(const OpenRequestPtr &Asked);
  void tick();
  void moveOn();
  /// Asks all upstreams for their load, as long as this entry dispatches.
  void pollLoads();
  /// Takes what has been decided and starts it.
  void pump();

  [[nodiscard]] Dispatcher &decisions() noexcept { return Decides_; }
  [[nodiscard]] const ServiceName &service() const noexcept { return Name_; }

private:
  void act(const Send &Of);
  void act(const Replicate &Of);
  void act(const Announce &Of);
  void act(const Resolve &Of);
  void act(const Cancel &Of);

  [[nodiscard]] Awaitable<Verdict> await(OpenRequestPtr Asked, Ticket Of);
  [[nodiscard]] Awaitable<void> attempt(Send Of, OpenRequestPtr Asked);
  [[nodiscard]] Awaitable<upstream::AttemptEnd>
  take(const Send &Of, OpenRequestPtr Asked, AnswerPtr Got,
       std::shared_ptr<const KeptAnswer> &Kept);
  [[nodiscard]] Awaitable<void> cancel(config::Upstream At, AttemptId Which);
  [[nodiscard]] Awaitable<void> pollLoad(config::Upstream At);

  asio::io_context &Io_;
  ConnectionPool &Pool_;
  Peers &Others_;
  RequestMetrics &Counts_;
  Tracer &Traces_;
  Dispatcher Decides_;
  Clock Time_;
  ServiceName Name_;
  std::vector<config::Upstream> Upstreams_;
  std::map<UpstreamName, bool> Polling_;
  std::unordered_map<Ticket, OpenRequestPtr> Open_;
  std::unordered_map<const OpenRequest *, Ticket> TicketOf_;
  bool Pumping_ = false;
};

} // namespace medlarmoor::request::internal

#endif // MEDLARMOOR_REQUEST_INTERNAL_DISPATCH_EXECUTOR_HPP
