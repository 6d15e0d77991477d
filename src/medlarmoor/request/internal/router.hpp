#ifndef MEDLARMOOR_REQUEST_INTERNAL_ROUTER_HPP
#define MEDLARMOOR_REQUEST_INTERNAL_ROUTER_HPP

#include <medlarmoor/config/in_force.hpp>
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

/// Answers the requests of callers and of other entries: brings each to its
/// dispatcher, here or at another entry, and passes the answer back.
class Router {
public:
  Router(asio::io_context &Io, const config::Settings &Own, Clock Time,
         RequestMetrics &Counts, telemetry::EventLog &Log,
         telemetry::SpanLog &Spans, Random Source);

  void onConfig(config::InForcePtr Now);
  void onView(membership::ViewPtr Now);
  /// Runs what is due; call it several times a second.
  void tick();
  /// Begins the planned handover.
  void leave();
  /// Whether all services were handed over and nothing waits or runs here.
  [[nodiscard]] bool handoffComplete() const;
  /// What is known about Key, as JSON text.
  [[nodiscard]] std::string explain(const IdempotencyKey &Key);

  /// Answers a caller.
  [[nodiscard]] Awaitable<bool> answerCaller(HttpMessage Message,
                                             CallerStream From, bool Close);
  /// Answers another entry.
  [[nodiscard]] Awaitable<bool> answerEntry(HttpMessage Message,
                                            CallerStream From, bool Close);
  /// Answers a request whose body is too large.
  [[nodiscard]] Awaitable<void> refuseTooLarge(CallerStream From);
  [[nodiscard]] std::uint64_t bodyLimit(std::string_view Target) const;

private:
  enum class Verb : unsigned char { Submit, LookUp, Cancel, Refuse };
  /// What one message asks for.
  struct Ask {
    Verb Verb_ = Verb::Submit;
    OpenRequestPtr Open_;
    std::string Traceparent_;
    /// Forwarded by another entry; it goes no further.
    bool Inner_ = false;
    Findings Findings_;
    unsigned Status_ = 400;
    /// Nothing but the findings can be told: no dispatcher knows of it.
    bool Hopeless_ = false;
    /// The answer broke off while it was passed on.
    bool Broken_ = false;
  };
  /// A request that waits at another entry.
  struct Forward {
    EntryName To_;
    std::shared_ptr<ConnectionPtr> Opened_;
  };
  /// A service that this entry gave up and hands over.
  struct Exit {
    WallTime From_;
    bool Sending_ = false;
  };

  [[nodiscard]] Ask read(const HttpMessage &Message, CallerStream From,
                         bool Inner);
  void readSubmit(const net::HttpRequest &Message, const ServiceName &Service,
                  Ask &Into);
  void readQuestion(const ServiceName &Service, const std::string &Key,
                    Ask &Into);
  [[nodiscard]] Awaitable<bool> answer(Ask Of, bool Close);
  /// Brings Of to its dispatcher. True when the answer has been passed on
  /// already; else Into holds what to respond.
  [[nodiscard]] Awaitable<bool> settle(Ask &Of, Verdict &Into, bool Close);
  [[nodiscard]] Awaitable<Verdict> here(Ask &Of, DispatchExecutor &At);
  [[nodiscard]] Awaitable<bool> there(Ask &Of, membership::Member To,
                                      Verdict &Into, bool Close);
  [[nodiscard]] Awaitable<bool> respond(const Ask &Of, const Verdict &With,
                                        bool Close);
  [[nodiscard]] HttpMessage
  forwarded(const Ask &Of, const membership::Member &To, const Hop &Trace);
  [[nodiscard]] net::HttpResponse takeCopies(const HttpMessage &Message,
                                             const EntryName &From);
  [[nodiscard]] net::HttpResponse takeHandover(const HttpMessage &Message);
  [[nodiscard]] Awaitable<void> pause(Nanos Time);
  void watch(const OpenRequestPtr &Of, std::function<void()> OnLeft);

  DispatchExecutor *executor(const ServiceName &Name);
  void reviewRoles();
  /// Gives up waiting at entries that are no longer members, so that their
  /// requests go to the next dispatcher.
  void reviewForwards();
  void handOn(const ServiceName &Service, Exit &Of);
  void count(const Verdict &Of);
  void sign(HttpMessage &Message);
  /// The entry that sent Message; nothing when its signature does not hold.
  [[nodiscard]] std::optional<EntryName> sender(const HttpMessage &Message);
  void readList();
  [[nodiscard]] Awaitable<void> fetchList();

  asio::io_context &Io_;
  const config::Settings &Own_;
  Clock Time_;
  RequestMetrics &Counts_;
  telemetry::EventLog &Log_;
  Tracer Traces_;
  Random Source_;
  DispatcherIdentity Self_;
  wire::HttpSeal Seal_;
  Ledger Known_;
  DispatcherRole Office_;
  Quorum Members_;
  ConnectionPool Pool_;
  Peers Others_;
  SubmissionReader Reader_;
  config::InForcePtr Config_;
  std::map<ServiceName, std::shared_ptr<DispatchExecutor>> Executors_;
  /// The services that this entry dispatched when it last looked, each with
  /// the minting time from which on its ledger is whole.
  std::map<ServiceName, WallTime> Dispatched_;
  std::map<ServiceName, Exit> Exits_;
  /// Requests that wait at another entry for the head of their answer.
  std::list<Forward> Forwards_;
  bool Leaving_ = false;
  unsigned Ticks_ = 0;
  TimePoint Started_;
  TimePoint ListAsked_;
};

} // namespace medlarmoor::request::internal

#endif // MEDLARMOOR_REQUEST_INTERNAL_ROUTER_HPP
