#ifndef MEDLARMOOR_REQUEST_DISPATCHER_HPP
#define MEDLARMOOR_REQUEST_DISPATCHER_HPP

#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/random.hpp>
#include <medlarmoor/request/action.hpp>
#include <medlarmoor/request/dispatcher_limits.hpp>
#include <medlarmoor/request/dispatcher_role.hpp>
#include <medlarmoor/request/ledger.hpp>
#include <medlarmoor/request/quorum.hpp>
#include <medlarmoor/request/retry_budget.hpp>
#include <medlarmoor/request/submission.hpp>
#include <medlarmoor/upstream/slot_pool.hpp>

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace medlarmoor::request {

/// The entry that dispatches, and its incarnation.
struct DispatcherIdentity {
  EntryName Name_;
  Incarnation Incarnation_;
};

/// Decides for one service whether a submission may run, when and at which
/// upstream, and which verdict its caller receives. Events are passed in; the
/// resulting actions are collected with takeActions(). A request of class once
/// is sent to an upstream only after enough other entries hold a replica of
/// its record, and never again once it may have run.
class Dispatcher {
public:
  /// Records, Role and Majority are shared by the dispatchers of one entry and
  /// must outlive them.
  Dispatcher(DispatcherIdentity Self, DispatcherLimits Limits, Ledger &Records,
             DispatcherRole &Role, Quorum &Majority, upstream::SlotPool Slots,
             Clock Time, Random Generator);

  /// Accepts a submission. Its ticket gets exactly one Resolve, immediately if
  /// the verdict is already known. A duplicate of an open request joins it and
  /// gets the same verdict.
  [[nodiscard]] Ticket submit(const Submission &Request);
  /// Handles the departure of the caller of ticket Id. Queued requests and
  /// running idempotent requests are abandoned. A request of class once that
  /// was sent continues, and its ticket is resolved when it ends.
  void withdraw(Ticket Id);
  /// Returns what the ledger records about Key, without changing the record.
  [[nodiscard]] Verdict lookUp(const IdempotencyKey &Key);
  /// Records that a submission must not run. A key without a record is refused
  /// permanently; only a higher try reopens it. If CancelRunning is set, a
  /// queued request is removed from the queue and a running one is cancelled at
  /// its upstream; otherwise an open request is left unchanged. The service,
  /// key and deadline of Request must be set.
  [[nodiscard]] Ticket refuse(const Submission &Request, bool CancelRunning);

  /// Handles the end of the replication that was started for ticket Id.
  void onReplicationEnd(Ticket Id, ReplicationResult End);
  /// Handles the end of the attempt of ticket Id after Elapsed. Answer is set
  /// if the response is complete and small enough to be kept.
  void onAttemptEnd(Ticket Id, upstream::AttemptResult End, Nanos Elapsed,
                    std::shared_ptr<const KeptAnswer> Answer = nullptr);
  /// Refuses expired requests and starts those that can run. Must be called
  /// periodically.
  void tick();
  /// Resolves all waiting submissions with a verdict that redirects them, since
  /// this entry is no longer the dispatcher.
  void redirectWaiting();

  /// Returns the actions decided since the last call, in order.
  [[nodiscard]] std::vector<Action> takeActions();

  [[nodiscard]] upstream::SlotPool &slotPool() noexcept { return Slots_; }
  /// Returns the number of queued requests.
  [[nodiscard]] std::size_t waiting() const noexcept { return Queue_.size(); }
  /// Returns the number of requests that are queued or in flight.
  [[nodiscard]] std::size_t open() const noexcept { return Jobs_.size(); }
  void setLimits(const DispatcherLimits &Limits);

private:
  enum class Stage : unsigned char { Waiting, Replicating, Running, Refusing };
  struct Job {
    Submission Submission_;
    Stage Stage_ = Stage::Waiting;
    std::vector<Ticket> Callers_;
    /// The ticket that Send and Replicate carry, even after its caller left.
    Ticket ActionTicket_;
    /// The upstream whose slot the job holds while it replicates or runs.
    std::optional<config::Upstream> Slot_;
    AttemptId Attempt_;
    unsigned Attempts_ = 0;
    bool MayHaveRun_ = false;
    bool Replicated_ = false;
    bool CancelRequested_ = false;
    TimePoint NotBefore_;
    std::string RefusalReason_;
  };
  using Jobs = std::unordered_map<IdempotencyKey, Job>;

  /// Returns the verdict that ends Request without running it, or nothing if
  /// Request may be opened.
  std::optional<Verdict> verdictFor(const Submission &Request);
  std::optional<Verdict> verdictFromRecord(const Submission &Request,
                                           const Record &Existing) const;
  std::optional<std::string> reasonToShed(const Submission &Request) const;
  bool mayHaveRunBefore(const Submission &Request);
  bool deferForHandoff(const Submission &Request, Ticket Id);
  void reviewDeferred();

  Ticket resolveNow(Verdict Result);
  Job &openJob(const Submission &Request, Ticket Id);
  void admit(const Submission &Request, Ticket Id);
  bool writeRecord(const Job &Current, KeyState State,
                   const std::string &Reason,
                   std::shared_ptr<const KeptAnswer> Answer = nullptr);

  void startNext();
  bool start(Job &Current);
  void send(Job &Current);
  void replicate(Job &Current, KeyState State, TimePoint Deadline);
  void requeue(Job &Current, Millis Delay);
  void releaseSlot(Job &Current, upstream::AttemptResult End, Nanos Elapsed);
  [[nodiscard]] bool mayRetry(const Job &Current, upstream::AttemptResult End);

  void refuse(Job &Current, std::string Reason);
  void finish(Job &Current, KeyState State, Verdict Result);
  void onRefusalReplicated(Job &Current, ReplicationResult End);
  void refuseExpired();
  Job *findJob(Ticket Id);

  DispatcherIdentity Self_;
  DispatcherLimits Limits_;
  Ledger &Ledger_;
  DispatcherRole &Role_;
  Quorum &Quorum_;
  upstream::SlotPool Slots_;
  Clock Time_;
  Random Random_;
  RetryBudget RetryBudget_;
  std::deque<IdempotencyKey> Queue_;
  Jobs Jobs_;
  /// Submissions that cannot be decided before a handoff arrives.
  std::vector<std::pair<Ticket, Submission>> Deferred_;
  std::unordered_map<Ticket, IdempotencyKey> Tickets_;
  std::vector<Action> Actions_;
  std::uint64_t NextTicket_ = 1;
  std::uint64_t NextAttempt_ = 1;
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_DISPATCHER_HPP
