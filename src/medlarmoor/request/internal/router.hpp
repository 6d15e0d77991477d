#ifndef MEDLARMOOR_REQUEST_INTERNAL_ROUTER_HPP
#define MEDLARMOOR_REQUEST_INTERNAL_ROUTER_HPP

#include <medlarmoor/config/active_config.hpp>
#include <medlarmoor/config/settings.hpp>
#include <medlarmoor/core/findings.hpp>
#include <medlarmoor/net/http_request.hpp>
#include <medlarmoor/request/internal/dispatch_executor.hpp>
#include <medlarmoor/request/submission_reader.hpp>
#include <medlarmoor/telemetry/fwd.hpp>
#include <medlarmoor/wire/http_seal.hpp>

#include <functional>
#include <list>
#include <map>
#include <optional>

namespace medlarmoor::request::internal {

/// Answers the requests of callers and of other entries: routes each to the
/// dispatcher of its service, at this or another entry, and relays the answer.
class Router {
public:
  Router(asio::io_context &Io, const config::Settings &Settings, Clock Time,
         RequestMetrics &Metrics, telemetry::EventLog &Log,
         telemetry::SpanLog &Spans, Random Source);

  void onConfig(config::ActiveConfigPtr Config);
  void onView(membership::ViewPtr View);
  /// Performs periodic work. Call it several times a second; load reports are
  /// polled on every tenth call.
  void tick();
  /// Starts the planned handoff of all services.
  void leave();
  /// Returns true if leave() was called, all services have been handed off and
  /// no request waits or runs here.
  [[nodiscard]] bool handoffComplete() const;
  /// Returns what is known about Key, as JSON text.
  [[nodiscard]] std::string explain(const IdempotencyKey &Key);

  /// Answers a request of a caller. Returns false if the connection must be
  /// closed.
  [[nodiscard]] Awaitable<bool> answerCaller(HttpMessage Message,
                                             CallerStream Caller, bool Close);
  /// Answers a request of another entry. Returns false if the connection must
  /// be closed.
  [[nodiscard]] Awaitable<bool> answerEntry(HttpMessage Message,
                                            CallerStream Sender, bool Close);
  /// Answers a request whose body is too large.
  [[nodiscard]] Awaitable<void> refuseTooLarge(CallerStream Caller);
  /// Returns the largest body that is read of a request to Target, in bytes.
  [[nodiscard]] std::uint64_t bodyLimit(std::string_view Target) const;

private:
  enum class Verb : unsigned char { Submit, LookUp, Cancel, Refuse };
  /// One parsed request of a caller or of another entry.
  struct InboundRequest {
    Verb Verb_ = Verb::Submit;
    OpenRequestPtr Open_;
    std::string Traceparent_;
    /// Forwarded by another entry. It is not forwarded again.
    bool FromEntry_ = false;
    Findings Findings_;
    /// The status of the response if Findings_ is not empty.
    unsigned Status_ = 400;
    /// No dispatcher can be asked about it; the response consists of the
    /// findings only.
    bool Undispatchable_ = false;
    /// The answer ended early while it was relayed.
    bool RelayFailed_ = false;
  };
  /// A request that was forwarded to another entry and waits for the header of
  /// its answer.
  struct PendingForward {
    EntryName Dispatcher_;
    std::shared_ptr<ConnectionPtr> Connection_;
  };
  /// The ledger of a service that this entry no longer dispatches and has not
  /// handed off yet.
  struct PendingHandoff {
    /// The ledger is complete for keys that were minted at or after this time.
    WallTime CompleteSince_;
    bool Sending_ = false;
  };

  [[nodiscard]] InboundRequest parse(const HttpMessage &Message,
                                     CallerStream Caller, bool FromEntry);
  void parseSubmission(const net::HttpRequest &Message,
                       const ServiceName &Service, InboundRequest &Inbound);
  /// Parses a look-up, a cancellation or a refusal of Key.
  void parseKeyRequest(const ServiceName &Service, const std::string &Key,
                       InboundRequest &Inbound);
  /// Dispatches Inbound and responds to it. Returns false if the connection
  /// must be closed.
  [[nodiscard]] Awaitable<bool> answer(InboundRequest Inbound, bool Close);
  /// Finds the dispatcher of Inbound and waits for the result. Returns true if
  /// the answer has already been relayed; otherwise Result is the verdict to
  /// respond with.
  [[nodiscard]] Awaitable<bool> dispatch(InboundRequest &Inbound,
                                         Verdict &Result, bool Close);
  [[nodiscard]] Awaitable<Verdict> dispatchHere(InboundRequest &Inbound,
                                                DispatchExecutor &Executor);
  /// Forwards Inbound to the dispatcher Target. Returns true if its answer has
  /// been relayed. Otherwise, Result.NotDispatcher_ is set if Target did not
  /// answer or is not the dispatcher.
  [[nodiscard]] Awaitable<bool> forward(InboundRequest &Inbound,
                                        membership::Member Target,
                                        Verdict &Result, bool Close);
  [[nodiscard]] Awaitable<bool> respond(const InboundRequest &Inbound,
                                        const Verdict &Result, bool Close);
  [[nodiscard]] HttpMessage forwardMessage(const InboundRequest &Inbound,
                                           const membership::Member &Target,
                                           const OpenSpan &Span);
  [[nodiscard]] net::HttpResponse acceptReplicas(const HttpMessage &Message,
                                                 const EntryName &Sender);
  [[nodiscard]] net::HttpResponse acceptHandoff(const HttpMessage &Message);
  [[nodiscard]] Awaitable<void> pause(Nanos Duration);
  /// Calls OnLeft when the caller of Request closes its connection before the
  /// request is resolved.
  void watchCaller(const OpenRequestPtr &Request, std::function<void()> OnLeft);

  /// Returns the executor of the service, or null if it is unknown.
  DispatchExecutor *executor(const ServiceName &Name);
  /// Compares the services that this entry dispatches with those it dispatched
  /// before. Redirects the queued requests of those that it has lost and hands
  /// off their ledgers.
  void updateRoles();
  /// Closes the connections of requests that were forwarded to entries which
  /// are no longer members, so that they are sent to the next dispatcher.
  void abortStaleForwards();
  void sendHandoff(const ServiceName &Service, PendingHandoff &Handoff);
  void countOutcome(const Verdict &Result);
  void sign(HttpMessage &Message);
  /// Returns the entry that sent Message, or nothing if its signature is
  /// invalid. Without keys in the settings, signatures are not checked.
  [[nodiscard]] std::optional<EntryName>
  verifySender(const HttpMessage &Message);
  /// Requests the platform's list of instances if the quorum needs it.
  void refreshMemberList();
  [[nodiscard]] Awaitable<void> fetchMemberList();

  asio::io_context &Io_;
  const config::Settings &Settings_;
  Clock Time_;
  RequestMetrics &Metrics_;
  telemetry::EventLog &Log_;
  Tracer Tracer_;
  Random Source_;
  DispatcherIdentity Identity_;
  wire::HttpSeal Seal_;
  Ledger Ledger_;
  DispatcherRole Role_;
  Quorum Quorum_;
  ConnectionPool Pool_;
  LedgerReplicator Replicator_;
  SubmissionReader Reader_;
  config::ActiveConfigPtr Config_;
  std::map<ServiceName, std::shared_ptr<DispatchExecutor>> Executors_;
  /// The services that this entry dispatched at the last updateRoles(). For
  /// each, the ledger is complete for keys that were minted at or after the
  /// given time.
  std::map<ServiceName, WallTime> Dispatched_;
  std::map<ServiceName, PendingHandoff> Handoffs_;
  std::list<PendingForward> Forwards_;
  bool Leaving_ = false;
  unsigned Ticks_ = 0;
  TimePoint Started_;
  TimePoint ListRequested_;
};

} // namespace medlarmoor::request::internal

#endif // MEDLARMOOR_REQUEST_INTERNAL_ROUTER_HPP
